#include "jasminewood/delivery/digest.h"

#include <new>

#include <xxhash.h>

namespace jasminewood::delivery
{

OutputDigest::OutputDigest()
    : state_(XXH3_createState())
{
    if (!state_) {
        throw std::bad_alloc();
    }
    XXH3_64bits_reset(state_.get());
}

auto OutputDigest::update(std::string_view data) -> void
{
    XXH3_64bits_update(state_.get(), data.data(), data.size());
}

auto OutputDigest::value() const -> std::uint64_t
{
    return XXH3_64bits_digest(state_.get());
}

auto OutputDigest::FreeState::operator()(XXH3_state_s *state) const -> void
{
    XXH3_freeState(state);
}

} // namespace jasminewood::delivery
