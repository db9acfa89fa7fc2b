#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "jasminewood/claims/claim_state_machine.h"

namespace jasminewood::second_frontend
{

// Holds claim records in memory. A frontend of several processes stores them in the key-value service instead. Not
// thread-safe.
class ClaimTable
{
public:
    auto perform(const claims::CreateClaim &action) -> claims::Event;
    auto perform(const claims::ReadClaim &action) const -> claims::Event;
    auto perform(const claims::TakeOverClaim &action) -> claims::Event;
    auto perform(const claims::CompleteClaim &action) -> claims::Event;
    auto perform(const claims::ReleaseClaim &action) -> claims::Event;

private:
    auto compareAndSwap(const std::string &key, std::uint64_t expectedRevision, const claims::ClaimRecord &record)
        -> claims::Event;

    std::uint64_t revision_ = 0;
    std::map<std::string, claims::ClaimExists> records_;
};

} // namespace jasminewood::second_frontend
