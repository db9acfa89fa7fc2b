#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

// The digest that ends every answer.
//
//     auto digest = delivery::Digest();
//     digest.update("Hello ");
//     digest.update("world");
//     finished(digest.value());

namespace jasminewood::delivery
{

// Streaming XXH3-64 with seed 0. The value does not depend on how the bytes were divided into updates. Can be moved but
// not copied. Not thread-safe.
class OutputDigest
{
public:
    OutputDigest();

    // Adds the bytes at the end.
    auto update(std::string_view data) -> void;

    // Returns the digest of all bytes so far; more may follow.
    auto value() const -> std::uint64_t;

private:
    struct Release
    {
        auto operator()(XXH3_state_s *state) const -> void;
    };

    std::unique_ptr<XXH3_state_s, Release> state_;
};

} // namespace jasminewood::delivery
