#pragma once

#include <optional>
#include <string>
#include <string_view>

// Base64, as etcd's JSON gateway uses it for keys and values.

namespace jasminewood::platform
{

// Encodes arbitrary bytes, with padding.
auto encodeBase64(std::string_view bytes) -> std::string;

// Returns nothing if the text is not padded base64.
auto decodeBase64(std::string_view text) -> std::optional<std::string>;

} // namespace jasminewood::platform
