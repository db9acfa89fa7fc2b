#include "jasminewood/engine/chat_request.h"

#include <nlohmann/json.hpp>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::engine::parseChatRequest;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

const std::string plain = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";

auto faultOf(const std::string &body) -> std::string
{
    const auto request = parseChatRequest(body);
    return request ? "no fault" : request.failure().step_ + ": " + request.failure().reason_;
}

auto names(const std::string &fault, const std::string &member) -> bool
{
    return fault.starts_with("validate: ") && fault.find(member) != std::string::npos;
}

auto withMember(const std::string &name, const json &value) -> std::string
{
    auto body = json::parse(plain);
    body[name] = value;
    return body.dump();
}

auto withMessages(const std::vector<std::string> &texts) -> std::string
{
    auto messages = json::array();
    for (const auto &text : texts) {
        messages.push_back({{"role", "user"}, {"content", text}});
    }
    return withMember("messages", messages);
}

const testkit::TestSuite reading = {"the body of a chat request",
    {
        section("that is valid",
            {
                test("gives its model, flags, limit and last user text",
                    [] {
                        const auto request = parseChatRequest(R"({"model":"m","stream":true,"max_tokens":7,"messages":[
                            {"role":"system","content":"s"},{"role":"user","content":"first"},
                            {"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"},{"text":"b"}]},
                            {"role":"assistant","content":null}]})");
                        check(request && request->model_ == "m" && request->stream_);
                        check(request->maximumOutputTokens_ == 7U && request->lastUserMessage_ == "ab");
                    }),
                test("is not streamed and has no limit unless it says so",
                    [] {
                        const auto request = parseChatRequest(plain);
                        check(request && !request->stream_ && !request->maximumOutputTokens_);
                    }),
                test("has the newer of two limits",
                    [] {
                        auto body = json::parse(withMember("max_tokens", 7));
                        body["max_completion_tokens"] = 9;
                        check(parseChatRequest(body.dump())->maximumOutputTokens_ == 9U);
                    }),
            }),
        section("that is invalid",
            {
                // Guards against callers who are told only that something was wrong.
                test("names the member at fault",
                    [] {
                        check(names(faultOf("[]"), "JSON object") && names(faultOf("{"), "JSON object"));
                        check(names(faultOf(withMember("model", "")), "\"model\""));
                        check(names(faultOf(withMember("model", std::string(257, 'm'))), "\"model\""));
                        check(names(faultOf(withMember("messages", json::array())), "\"messages\""));
                        check(names(faultOf(withMember("messages", {{{"role", "user"}}, {{"content", "x"}}})),
                            "\"messages\"[1] has no \"role\""));
                        check(names(
                            faultOf(withMember("messages", {{{"role", "user"}, {"content", 1}}})), "\"content\""));
                        check(names(faultOf(withMember("stream", "yes")), "\"stream\""));
                        check(names(faultOf(withMember("n", 2)), "\"n\""));
                        check(names(faultOf(withMember("max_tokens", -1)), "\"max_tokens\""));
                        check(names(faultOf(withMember("max_tokens", 1.5)), "\"max_tokens\""));
                    }),
                // Guards against a stack exhausted by nesting and memory by size.
                test("is refused for its size and depth",
                    [] {
                        const auto deep = std::string(1U << 20U, '[') + std::string(1U << 20U, ']');
                        check(names(faultOf(R"({"model":"m","x":)" + deep + "}"), "deep"));
                        check(names(faultOf(std::string(engine::maximumBodyBytes + 1, ' ')), "bytes"));
                        check(names(faultOf(withMessages(std::vector<std::string>(4097, "x"))), "4096"));
                    }),
                property("is read or refused with any two bytes changed, without an exception",
                    [] {
                        auto bytes = plain;
                        for (auto change = 0; change < 2; ++change) {
                            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
                        }
                        const auto request = parseChatRequest(bytes);
                        RC_ASSERT(request || request.failure().step_ == "validate");
                    }),
            }),
        section("whose prompt begins as another's",
            {
                // Guards against affinity that is lost or wrong: equal prefixes must meet at one upstream.
                test("has the same prefix hash exactly if the first KiB is the same",
                    [] {
                        const auto shared = std::string(2000, 'x');
                        const auto hash = [](const std::vector<std::string> &texts) {
                            return parseChatRequest(withMessages(texts))->prefixHash_;
                        };
                        check(hash({shared, "a"}) == hash({shared, "b"}));
                        check(hash({shared + "a"}) == hash({shared + "b"}));
                        check(hash({"a" + shared}) != hash({"b" + shared}));
                        check(hash({"a", "b"}) != hash({"a", "c"}));
                        check(hash({"ab", ""}) != hash({"a", "b"}));
                    }),
            }),
    }};

const testkit::TestSuite changing = {"a chat request for the engine",
    {
        section("continued after delivered text",
            {
                // Guards against an engine that starts the answer anew, so that the caller gets its beginning twice.
                test("ends in an assistant message that is to be continued",
                    [] {
                        const auto body = json::parse(*engine::withResumedOutput(withMember("seed", 3), "so far", 2));
                        check(body["messages"].size() == 2 && body["seed"] == 3);
                        check(body["messages"][1] == json({{"role", "assistant"}, {"content", "so far"}}));
                        check(body["continue_final_message"] == true && body["add_generation_prompt"] == false);
                    }),
                // Guards against an answer that grows beyond the caller's limit with each continuation.
                test("may produce only what is left of the caller's limit",
                    [] {
                        const auto left
                            = json::parse(*engine::withResumedOutput(withMember("max_tokens", 10), "so far", 2));
                        check(left["max_tokens"] == 8);
                        const auto none
                            = json::parse(*engine::withResumedOutput(withMember("max_tokens", 2), "so far", 2));
                        check(none["max_tokens"] == 1);
                    }),
                test("extends the message that the caller itself wants continued",
                    [] {
                        auto own = json::parse(plain);
                        own["messages"].push_back({{"role", "assistant"}, {"content", "Once "}});
                        own["continue_final_message"] = true;
                        const auto body = json::parse(*engine::withResumedOutput(own.dump(), "upon", 1));
                        check(body["messages"].size() == 2 && body["messages"][1]["content"] == "Once upon");
                    }),
                test("is unchanged without delivered text",
                    [] {
                        check(*engine::withResumedOutput(plain, "", 0) == plain);
                    }),
                test("fails for text that is not UTF-8",
                    [] {
                        const auto body = engine::withResumedOutput(plain, "\xC3", 1);
                        check(!body && body.failure().step_ == "resume");
                    }),
            }),
        section("with a tier and a stream",
            {
                test("carries both and all that it had",
                    [] {
                        const auto asked = withMember("stream_options", {{"continuous_usage_stats", true}});
                        const auto body = json::parse(*engine::withStreaming(*engine::withPriority(asked, 2)));
                        check(body["priority"] == 2 && body["stream"] == true && body["model"] == "m");
                        check(body["stream_options"]
                            == json({{"continuous_usage_stats", true}, {"include_usage", true}}));
                    }),
                test("fails for a body that is no object",
                    [] {
                        check(engine::withPriority("1", 2).failure().step_ == "priority");
                        check(engine::withStreaming("1").failure().step_ == "stream");
                        check(engine::withResumedOutput("1", "x", 1).failure().step_ == "resume");
                    }),
            }),
    }};

} // namespace
