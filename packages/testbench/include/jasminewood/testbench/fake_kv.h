#pragma once

#include <cstdint>
#include <memory>

#include "jasminewood/core/result.h"

// A fake of the platform's key-value service: a subset of the JSON gateway of etcd v3, in memory.
//
// POST /v3/kv/range, /v3/kv/put, /v3/kv/deleterange, /v3/kv/txn (with nested transactions), /v3/lease/grant,
// /v3/lease/keepalive, /v3/lease/revoke and /v3/watch; GET /calls (number of calls by kind; an open watch counts as
// one); and POST /fault with one of
//     {"down_ms": N}               closes all connections and refuses new ones for N ms
//     {"slow_ms": N, "for_ms": M}  delays each call by N ms, for M ms
//     {"lose_answers": N}          performs the next N writes but closes their connections without a response
//     {"freeze_ms": N}             holds all calls for N ms

namespace jasminewood::testbench
{

struct FakeKvOptions
{
    const std::uint16_t port_ = 0;
};

// Thread-safe.
class FakeKv
{
public:
    // Fails as http::Server::start() does.
    static auto start(const FakeKvOptions &options) -> Result<std::shared_ptr<FakeKv>>;

    // Stops the service as stop() does.
    ~FakeKv();

    FakeKv(const FakeKv &) = delete;
    auto operator=(const FakeKv &) -> FakeKv & = delete;

    // Returns the port, which stays the same through an outage.
    auto port() const -> std::uint16_t;

    // Aborts all calls and closes the port. May be called twice.
    auto stop() -> void;

private:
    class State;

    explicit FakeKv(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::testbench
