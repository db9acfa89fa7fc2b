#include "head_receiver.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminewood::http::internal
{

namespace
{

constexpr std::string_view lineEnd = "\r\n";

// A longer wait in the kernel is not believed.
constexpr auto maximumUnreadTime = Milliseconds(60'000);

// Returns when the data that was last received on the connection had arrived.
auto arrivalOfLastData(int socket) -> Arrival
{
    auto info = tcp_info {};
    auto size = socklen_t(sizeof(info));
    const auto known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
    const auto waited = std::min(Milliseconds(known ? info.tcpi_last_data_recv : 0), maximumUnreadTime);
    return {.steady_ = Clock::now() - waited, .boot_ = BootClock::now() - waited};
}

// Removes empty lines before a request (RFC 9112, 2.2).
auto skipEmptyLines(ReceiveBuffer &buffer) -> void
{
    while (buffer.data().starts_with(lineEnd)) {
        buffer.consume(lineEnd.size());
    }
}

// Returns the second word of a complete first line, or nothing.
auto targetIn(std::string_view received) -> std::string
{
    const auto line = received.substr(0, std::min(received.find(lineEnd), received.size()));
    const auto begin = line.find(' ');
    if (line.size() == received.size() || begin == std::string_view::npos) {
        return {};
    }
    const auto rest = line.substr(begin + 1);
    return std::string(rest.substr(0, rest.find(' ')));
}

// Returns the outcome, or nothing if more has to be received.
auto parseReceived(ReceiveBuffer &buffer, RequestParser &parser, std::size_t maximumHeadBytes, const Arrival &arrival)
    -> std::optional<HeadOutcome>
{
    const auto result = parser.parseHead(buffer.data());
    if (const auto *malformed = std::get_if<MalformedRequest>(&result)) {
        return RefusedHead {.target_ = targetIn(buffer.data()), .refusal_ = malformedRefusal(malformed->reason_)};
    }
    const auto *head = std::get_if<RequestHead>(&result);
    const auto headBytes = head != nullptr ? head->bytes_ : buffer.data().size();
    if (headBytes > maximumHeadBytes) {
        return RefusedHead {.target_ = targetIn(buffer.data()), .refusal_ = oversizedHeadRefusal(maximumHeadBytes)};
    }
    if (head == nullptr) {
        return std::nullopt;
    }
    buffer.consume(headBytes);
    return ReceivedHead {.head_ = *head, .arrival_ = arrival};
}

} // namespace

auto receiveHead(int socket, ReceiveBuffer &buffer, RequestParser &parser, std::size_t maximumHeadBytes,
    Milliseconds timeout) -> HeadOutcome
{
    auto arrival = std::optional<Arrival>();
    while (true) {
        skipEmptyLines(buffer);
        if (!buffer.data().empty()) {
            if (!arrival) {
                arrival.emplace(arrivalOfLastData(socket));
            }
            if (const auto outcome = parseReceived(buffer, parser, maximumHeadBytes, *arrival)) {
                return *outcome;
            }
        }
        if (const auto end = buffer.receive(timeout); end != ReceiveEnd::Data) {
            return PartialHead {.target_ = targetIn(buffer.data()), .end_ = end};
        }
    }
}

} // namespace jasminewood::http::internal
