#include "request_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace jasminewood::http::internal
{

namespace
{

namespace beast = boost::beast;

// The parser has no limits of its own: the server limits what it passes to it.
constexpr auto unlimitedHeadBytes = std::numeric_limits<std::uint32_t>::max();
constexpr auto unlimitedBodyBytes = std::numeric_limits<std::uint64_t>::max();

constexpr auto http10 = 10;

} // namespace

// Collects what Boost.Beast reports.
class RequestParser::Implementation : private beast::http::basic_parser<true>
{
public:
    Implementation()
    {
        header_limit(unlimitedHeadBytes);
        body_limit(unlimitedBodyBytes);
    }

    auto parseHead(std::string_view received) -> HeadResult
    {
        const auto rest = received.substr(headBytes_);
        fields_.reserve(fields_.size() + std::size_t(std::count(rest.begin(), rest.end(), '\n')));
        auto error = beast::error_code();
        headBytes_ += put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        if (is_header_done()) {
            eager(true);
            return RequestHead {.method_ = std::move(method_),
                .target_ = std::move(target_),
                .isHttp10_ = version_ == http10,
                .keepAlive_ = keep_alive(),
                .fields_ = std::move(fields_),
                .bytes_ = headBytes_};
        }
        if (error == beast::http::error::need_more) {
            return IncompleteData {};
        }
        return MalformedRequest {.reason_ = error.message()};
    }

    auto parseBody(std::string_view received) -> BodyResult
    {
        auto consumedBytes = std::size_t(0);
        auto error = beast::error_code();
        while (!is_done() && !error && consumedBytes < received.size()) {
            const auto rest = received.substr(consumedBytes);
            consumedBytes += put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        }
        if (error && error != beast::http::error::need_more) {
            return MalformedRequest {.reason_ = error.message()};
        }
        return BodyPart {.data_ = std::exchange(data_, {}), .consumedBytes_ = consumedBytes};
    }

    auto isComplete() const -> bool
    {
        return is_done();
    }

private:
    auto on_request_impl(beast::http::verb /*method*/, beast::string_view method, beast::string_view target,
        int version, beast::error_code & /*error*/) -> void override
    {
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
        version_ = version;
    }

    auto on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/, beast::error_code & /*error*/)
        -> void override
    {
    }

    auto on_field_impl(beast::http::field /*known*/, beast::string_view name, beast::string_view value,
        beast::error_code & /*error*/) -> void override
    {
        if (!headDone_) {
            fields_.push_back(
                {.name_ = std::string(name.data(), name.size()), .value_ = std::string(value.data(), value.size())});
        }
    }

    auto on_header_impl(beast::error_code & /*error*/) -> void override
    {
        headDone_ = true;
    }

    auto on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, beast::error_code & /*error*/)
        -> void override
    {
    }

    auto on_body_impl(beast::string_view data, beast::error_code & /*error*/) -> std::size_t override
    {
        data_.append(data.data(), data.size());
        return data.size();
    }

    auto on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, beast::error_code & /*error*/)
        -> void override
    {
    }

    auto on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view data, beast::error_code & /*error*/)
        -> std::size_t override
    {
        data_.append(data.data(), data.size());
        return data.size();
    }

    auto on_finish_impl(beast::error_code & /*error*/) -> void override
    {
    }

    std::string method_;
    std::string target_;
    int version_ = 0;
    std::vector<HeaderField> fields_;
    // The part of the head that has been parsed.
    std::size_t headBytes_ = 0;
    bool headDone_ = false;
    std::string data_;
};

RequestParser::RequestParser()
    : implementation_(std::make_unique<Implementation>())
{
}

RequestParser::~RequestParser() = default;

auto RequestParser::parseHead(std::string_view received) -> HeadResult
{
    return implementation_->parseHead(received);
}

auto RequestParser::parseBody(std::string_view received) -> BodyResult
{
    return implementation_->parseBody(received);
}

auto RequestParser::isComplete() const -> bool
{
    return implementation_->isComplete();
}

} // namespace jasminewood::http::internal
