#include "jasminewood/router/sha256.h"

#include <array>

#include <fmt/format.h>
#include <openssl/evp.h>

namespace jasminewood::router
{

auto sha256Hex(std::string_view bytes) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>();
    auto length = 0U;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    auto hex = std::string();
    for (auto index = 0U; index < length; ++index) {
        hex += fmt::format("{:02x}", digest.at(index));
    }
    return hex;
}

} // namespace jasminewood::router
