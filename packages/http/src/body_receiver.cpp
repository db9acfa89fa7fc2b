#include "body_receiver.h"

#include <algorithm>
#include <utility>

namespace jasminewood::http::internal
{

namespace
{

// The memory of a body whose length is not declared is reserved in these steps, in bytes.
constexpr std::size_t reservationStepBytes = std::size_t(64) * 1024;

// A text with the memory that is reserved for it.
struct KeptText
{
    const std::string text_;
    const std::shared_ptr<Reservation> reservation_;
};

// Makes a body whose memory is released with its last copy.
auto keepBody(std::string text, std::shared_ptr<Reservation> reservation) -> Body
{
    const auto kept
        = std::make_shared<const KeptText>(KeptText {.text_ = std::move(text), .reservation_ = std::move(reservation)});
    return Body(std::shared_ptr<const std::string>(kept, &kept->text_));
}

} // namespace

BodyReceiver::BodyReceiver(
    ReceivingBodies &bodies, int socket, std::optional<std::size_t> declaredBytes, std::size_t maximumBodyBytes)
    : bodies_(bodies)
    , id_(bodies.begin(socket, Clock::now()))
    , declaredBytes_(declaredBytes)
    , maximumBodyBytes_(maximumBodyBytes)
{
}

BodyReceiver::~BodyReceiver()
{
    bodies_.end(id_);
}

auto BodyReceiver::reserveDeclared() -> std::optional<Refusal>
{
    return declaredBytes_ ? reserve(*declaredBytes_) : std::nullopt;
}

auto BodyReceiver::receive(ReceiveBuffer &buffer, RequestParser &parser, Milliseconds timeout) -> ReceivedBody
{
    while (true) {
        if (const auto refusal = parseReceived(buffer, parser)) {
            return bodies_.end(id_) ? refusalFor(EndReason::BodyStalled, maximumBodyBytes_) : *refusal;
        }
        if (parser.isComplete()) {
            break;
        }
        if (const auto end = buffer.receive(timeout); end != ReceiveEnd::Data) {
            // Another thread has responded to a stalled body and shut down its socket.
            return bodies_.end(id_) ? ReceivedBody(refusalFor(EndReason::BodyStalled, maximumBodyBytes_))
                                    : ConnectionEnd {.end_ = end};
        }
    }
    auto reservation = bodies_.complete(id_);
    return reservation ? ReceivedBody(keepBody(std::move(text_), std::move(reservation)))
                       : refusalFor(EndReason::BodyStalled, maximumBodyBytes_);
}

auto BodyReceiver::parseReceived(ReceiveBuffer &buffer, RequestParser &parser) -> std::optional<Refusal>
{
    if (buffer.data().empty()) {
        return std::nullopt;
    }
    const auto result = parser.parseBody(buffer.data());
    if (const auto *malformed = std::get_if<MalformedRequest>(&result)) {
        return malformedRefusal(malformed->reason_);
    }
    const auto &part = std::get<BodyPart>(result);
    buffer.consume(part.consumedBytes_);
    // What is left is the beginning of the next request, or of a chunk's head or a trailer.
    if (!parser.isComplete() && buffer.data().size() > maximumHeaderBytes) {
        return malformedRefusal("the trailer is too long");
    }
    return part.data_.empty() ? std::nullopt : append(part.data_);
}

auto BodyReceiver::append(std::string_view data) -> std::optional<Refusal>
{
    const auto bodyBytes = text_.size() + data.size();
    if (bodyBytes > maximumBodyBytes_) {
        return oversizedBodyRefusal(maximumBodyBytes_);
    }
    if (const auto reason = bodies_.recordReceived(id_, data.size(), Clock::now())) {
        return refusalFor(*reason, maximumBodyBytes_);
    }
    if (bodyBytes > reservedBytes_) {
        const auto steps = (bodyBytes + reservationStepBytes - 1) / reservationStepBytes;
        if (auto refusal = reserve(std::min(steps * reservationStepBytes, maximumBodyBytes_))) {
            return refusal;
        }
    }
    text_.append(data);
    return std::nullopt;
}

auto BodyReceiver::reserve(std::size_t bodyBytes) -> std::optional<Refusal>
{
    const auto reason = bodies_.reserve(
        id_, {.bytes_ = bodyBytes - reservedBytes_, .largestBodyBytes_ = maximumBodyBytes_}, Clock::now());
    if (reason) {
        return refusalFor(*reason, maximumBodyBytes_);
    }
    reservedBytes_ = bodyBytes;
    // Memory is resident only once it is written. So a body without a declared length that is not small gets the
    // longest possible buffer, rather than a larger one and a copy with each step.
    text_.reserve(declaredBytes_ || bodyBytes <= smallBodyBytes ? bodyBytes : maximumBodyBytes_);
    return std::nullopt;
}

} // namespace jasminewood::http::internal
