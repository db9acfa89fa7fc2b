#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

// Checksum of an attempt's output, which the agent sends at the end so that the router can verify the output.
//
//     auto digest = delivery::OutputDigest();
//     digest.update("Hello ");
//     digest.update("world");
//     sendEnd(digest.value());

namespace jasminewood::delivery
{

// Streaming XXH3-64 hash with seed 0. The value does not depend on how the bytes are divided into updates. Can be moved
// but not copied. Not thread-safe.
class OutputDigest
{
public:
    OutputDigest();

    // Appends the bytes to the hashed input.
    auto update(std::string_view data) -> void;

    // Returns the digest of all bytes so far. Further updates are allowed.
    auto value() const -> std::uint64_t;

private:
    struct FreeState
    {
        auto operator()(XXH3_state_s *state) const -> void;
    };

    std::unique_ptr<XXH3_state_s, FreeState> state_;
};

} // namespace jasminewood::delivery
