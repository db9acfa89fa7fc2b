#pragma once

#include <string>

// The manifest of the failure tests: one pool of engines, one of booking services, two accounts and four classes.

namespace jasminewood::testbench
{

// Bearer keys of the accounts.
constexpr auto firstKey = "demo-key-folije-ljubljana";
constexpr auto secondKey = "demo-key-okna-maribor";

// The mark makes the text unique without changing any setting.
inline auto manifestText(const std::string &mark) -> std::string
{
    return "; " + mark + R"(
[pool engines]
kind = engine
concurrency = 64
long_lane = 31
queue_limit = 128

[pool booking]
kind = service
concurrency = 16
queue_limit = 128
path = /services/booking

[model film-chat]
versions = 1
pool = engines

[class booking-confirmation]
tier = 0
maximum_wait_ms = 5000
pool = booking
cost_estimate = 1

[class quote-draft]
tier = 1
maximum_wait_ms = 1000
minimum_share = 10
models = film-chat
pool = engines
cost_estimate = 50

[class chat]
tier = 2
maximum_wait_ms = 15000
minimum_share = 10
models = film-chat
pool = engines
cost_estimate = 50

[class batch]
tier = 3
maximum_wait_ms = 30000
minimum_share = 5
models = film-chat
pool = engines
cost_estimate = 50

[route booking-confirm]
pool = booking
method = POST
path = /services/booking/bookings
idempotent = no
class = booking-confirmation

[account folije-ljubljana]
key_sha256 = 161ba87d0c0d23afe6a5d86bdfcda7037116c919c1e855213ae0db4056a40102
default_class = chat
classes = quote-draft, chat, booking-confirmation, batch
requests_per_second = 5000
work_per_second = 5000000
weight = 1

[account okna-maribor]
key_sha256 = 62a27561f382c87d8210a9600c51a842e5ba4e894986ab1c74397e8f489882ef
default_class = chat
classes = quote-draft, chat, booking-confirmation, batch
requests_per_second = 5000
work_per_second = 5000000
weight = 1
)";
}

} // namespace jasminewood::testbench
