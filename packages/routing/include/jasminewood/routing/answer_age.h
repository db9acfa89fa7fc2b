#pragma once

#include <optional>

#include "jasminewood/core/clock.h"

// Decides how far the answer to a request has come, as evidence of whether the request crashes the upstreams that run
// it: those that do crash their upstream as they begin to run, or soon after their first token.
//
//     auto age = AnswerAge();
//     age.recordToken(now);
//     if (age.isStarting()) { /* a crash of the upstream accuses the request */ }
//     if (age.takeSurvival(now)) { /* the request crashes no upstream */ }
//
// Between the two an answer shows neither. Data that waited before this process read it must not make an answer look
// older than it is, so an answer counts as being as old as its last data but one.

namespace jasminewood::routing
{

// An answer is starting until its last data came later than this after its first token. Many answers are lost in each
// crash, and most of them are older.
constexpr Milliseconds maximumStartTime = Milliseconds(1'000);
// How long after its first token an answer must still have got data to show that its request crashes no upstream. The
// margin above maximumStartTime allows for delays between the upstream and this process.
constexpr Milliseconds minimumSurvivalTime = Milliseconds(1'250);
// The shortest time between two reports that the same answer still goes on.
constexpr Milliseconds survivalInterval = Milliseconds(500);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class AnswerAge
{
public:
    // Records data of the answer that was read, from the first token on.
    auto recordToken(TimePoint now) -> void;

    auto hasFirstToken() const -> bool;

    // Returns whether a crash of the upstream now may have been caused by the request.
    auto isStarting() const -> bool;

    // Returns whether the answer has gone on for long enough to show that its request crashes no upstream; true at most
    // once in each survivalInterval.
    auto takeSurvival(TimePoint now) -> bool;

private:
    std::optional<TimePoint> firstTokenAt_;
    // When the last data was read, and the data before it, which the last data certainly came after.
    TimePoint lastReadAt_;
    TimePoint readBeforeAt_;
    std::optional<TimePoint> survivalTakenAt_;
};

} // namespace jasminewood::routing
