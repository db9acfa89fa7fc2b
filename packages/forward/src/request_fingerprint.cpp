#include "request_fingerprint.h"

#include <string>

#include <xxhash.h>

#include "jasminewood/http/client.h"

namespace jasminewood::forward::internal
{

auto requestFingerprint(const http::Request &request, const std::string &account) -> std::uint64_t
{
    auto hash = std::uint64_t(0);
    const auto host = http::findHeader(request.fields_, "Host").value_or("");
    // Each part is hashed by itself, so that none runs into the next.
    for (const auto *part : {&account, &host, &request.method_, &request.requestTarget_, &request.body_.text()}) {
        hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
    }
    return hash;
}

} // namespace jasminewood::forward::internal
