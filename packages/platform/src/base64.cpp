#include "jasminewood/platform/base64.h"

#include <openssl/evp.h>

namespace jasminewood::platform
{

auto encodeBase64(std::string_view bytes) -> std::string
{
    // EVP_EncodeBlock writes a terminating zero byte after the text.
    auto text = std::string((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
        reinterpret_cast<const unsigned char *>(bytes.data()), int(bytes.size()));
    text.resize(std::size_t(length));
    return text;
}

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    auto bytes = std::string(text.size() / 4 * 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
        reinterpret_cast<const unsigned char *>(text.data()), int(text.size()));
    if (length < 0 || text.size() % 4 != 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes the zero bytes that the padding decodes to in its length.
    const auto padding = text.ends_with("==") ? 2U : text.ends_with("=") ? 1U : 0U;
    bytes.resize(std::size_t(length) - padding);
    return bytes;
}

} // namespace jasminewood::platform
