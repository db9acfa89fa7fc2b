#include "jasminewood/delivery/output_buffer.h"

namespace jasminewood::delivery
{

OutputBuffer::OutputBuffer(std::size_t limit)
    : limit_(limit)
{
}

auto OutputBuffer::append(std::string_view data) -> Status
{
    if (data.size() > limit_ - bytes_.size()) {
        return Failure {.step_ = "buffer output",
            .reason_ = "the output exceeds " + std::to_string(limit_) + " bytes",
            .runState_ = RunState::Ran};
    }
    bytes_.append(data);
    digest_.update(data);
    return std::nullopt;
}

auto OutputBuffer::outputFrom(std::uint64_t offset) const -> std::string_view
{
    return offset >= bytes_.size() ? std::string_view() : std::string_view(bytes_).substr(offset);
}

auto OutputBuffer::length() const -> std::uint64_t
{
    return bytes_.size();
}

auto OutputBuffer::trailer() const -> OutputTrailer
{
    return OutputTrailer {.length_ = bytes_.size(), .digest_ = digest_.value()};
}

} // namespace jasminewood::delivery
