#include "jasminewood/forward/store_feed.h"

#include <algorithm>
#include <utility>

#include "jasminewood/forward/peer_network.h"
#include "store_messages.h"

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds initialBackoff = Milliseconds(50);
constexpr Milliseconds maximumBackoff = Milliseconds(500);
// A follower that reads the store itself only wants to know what it missed.
constexpr Milliseconds catchUpWatchTimeout = Milliseconds(20);

} // namespace

StoreFeed::StoreFeed(std::shared_ptr<platform::KeyValueClient> store, const StoreFeedOptions &options)
    : store_(std::move(store))
    , options_(options)
    , backoff_(options.seed_, initialBackoff, maximumBackoff)
{
}

StoreFeed::~StoreFeed()
{
    stop();
}

auto StoreFeed::addListener(const StoreListener &listener) -> void
{
    listeners_.push_back(listener);
}

auto StoreFeed::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    gapCounter_.emplace(environment_->metrics().counter(
        "jasminewood_store_feed_gaps_total", "Updates of another router that left out changes of the store"));
    const auto &self = environment_->identity().node_;
    state_.emplace(self);
    selector_.emplace(self.name_);
    if (const auto network = services.find<PeerNetwork>("peer-network")) {
        network_ = *network;
        network_->addHandler([this](const wire::Message &message) {
            handleMessage(message);
        });
    }
    thread_ = std::thread([this] {
        run();
    });
    return std::nullopt;
}

auto StoreFeed::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
        if (watchCall_) {
            watchCall_->cancel();
        }
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto StoreFeed::position() const -> platform::StorePosition
{
    const auto lock = std::scoped_lock(mutex_);
    return state_->applied();
}

auto StoreFeed::stopping() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return stopping_;
}

auto StoreFeed::waitFor(Milliseconds time) -> void
{
    const auto end = Clock::now() + time;
    auto lock = std::unique_lock(mutex_);
    const auto isDone = [this] {
        return stopping_ || (gap_ && mayReadStore());
    };
    while (!isDone() && Clock::now() < end) {
        // Missing changes are read as soon as the store may be read again.
        const auto mayReadAt = gap_ && storeFailedAt_ ? *storeFailedAt_ + options_.storeRetryInterval_ : end;
        changed_.wait_until(lock, std::min(end, mayReadAt + Milliseconds(1)));
    }
}

auto StoreFeed::mayReadStore() const -> bool
{
    return !storeFailedAt_ || Clock::now() - *storeFailedAt_ > options_.storeRetryInterval_;
}

auto StoreFeed::run() -> void
{
    while (!stopping()) {
        const auto completed = environment_->contain("follow the store", [this] {
            if (const auto source = chooseSource()) {
                follow(*source);
            } else {
                readForAll();
            }
        });
        if (!completed) {
            waitFor(maximumBackoff);
        }
    }
}

auto StoreFeed::chooseSource() -> std::optional<std::string>
{
    const auto routers = network_ ? network_->routerNames() : relay::RouterNames {};
    const auto lock = std::scoped_lock(mutex_);
    auto source = state_->applied().revision_ > 0 ? selector_->choose(routers, Clock::now()) : std::nullopt;
    if (source != source_) {
        environment_->log().info("the source of the store's changes changed",
            {{"from", source_.value_or("the store")}, {"to", source.value_or("the store")},
                {"age_ms", age() ? std::chrono::ceil<Milliseconds>(*age()).count() : -1}});
        source_ = source;
        sourceChosenAt_ = Clock::now();
        sourceOutages_.reset();
    }
    return source;
}

auto StoreFeed::readForAll() -> void
{
    if (readStore(options_.watchTimeout_)) {
        waitFor(backoff_.nextDelay());
    } else {
        backoff_.reset();
        waitFor(options_.batchDelay_);
    }
}

auto StoreFeed::follow(const std::string &source) -> void
{
    const auto request = [this] {
        const auto lock = std::scoped_lock(mutex_);
        return internal::makeFollow(state_->makeRequest(BootClock::now()));
    }();
    network_->send(source, request);
    waitFor(options_.followInterval_);
    auto mustRead = false;
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = Clock::now();
        const auto isOld = !age() || *age() > options_.maximumAge_;
        if (isOld && now - sourceChosenAt_ > options_.sourceTimeout_) {
            selector_->recordFailure(source, now);
        }
        mustRead = mayReadStore() && (isOld || gap_);
    }
    if (mustRead && !stopping()) {
        static_cast<void>(readStore(catchUpWatchTimeout));
    }
}

auto StoreFeed::readStore(Milliseconds watchTimeout) -> Status
{
    auto applied = platform::StorePosition();
    {
        const auto lock = std::scoped_lock(mutex_);
        gap_ = false;
        applied = state_->applied();
    }
    auto failure = applied.revision_ == 0 ? readSnapshot() : watchOnce(applied, watchTimeout);
    const auto lock = std::scoped_lock(mutex_);
    const auto &self = environment_->identity().node_.name_;
    if (!failure) {
        storeAvailable_ = true;
        storeFailedAt_.reset();
        selector_->recordSuccess(self);
        updateFollowers();
    } else if (failure->step_ == "kv compacted" || failure->step_ == "kv restored") {
        environment_->log().info("the history of the store is lost",
            {{"era", applied.era_}, {"revision", applied.revision_}, {"store_era", store_->era()},
                {"reason", failure->reason_}});
        state_->dropSnapshot();
    } else if (failure->step_ != "cancel") {
        outages_ += std::exchange(storeAvailable_, false) ? 1 : 0;
        storeFailedAt_ = Clock::now();
        selector_->recordFailure(self, Clock::now());
        notifyFailure(*failure);
    }
    return failure;
}

auto StoreFeed::readSnapshot() -> Status
{
    const auto requestedAt = BootClock::now();
    const auto snapshot = store_->getPrefix(options_.keyPrefix_);
    if (!snapshot) {
        return snapshot.failure();
    }
    const auto lock = std::scoped_lock(mutex_);
    recordEra(snapshot->position_);
    for (const auto &listener : listeners_) {
        auto entries = std::vector<platform::KeyValue>();
        for (const auto &entry : snapshot->entries_) {
            if (entry.key_.starts_with(listener.keyPrefix_)) {
                entries.push_back(entry);
            }
        }
        environment_->contain("apply a snapshot of the store", [&listener, &snapshot, &entries] {
            listener.onSnapshot_({.position_ = snapshot->position_, .entries_ = entries});
        });
    }
    state_->applySnapshot(snapshot->position_, requestedAt);
    notifyProgress();
    return std::nullopt;
}

auto StoreFeed::recordEra(platform::StorePosition position) -> void
{
    if (era_ && *era_ != position.era_) {
        environment_->log().warning("the store came back from an older copy",
            {{"previous_era", *era_}, {"era", position.era_}, {"revision", position.revision_}});
    }
    era_ = position.era_;
}

auto StoreFeed::logGap(const relay::ChangeBatch &batch) const -> void
{
    const auto applied = state_->applied();
    environment_->log().info("an update of another router left out changes of the store",
        {{"router", source_.value_or("")}, {"era", applied.era_}, {"revision", applied.revision_},
            {"update_era", batch.upTo_.era_}, {"update_after", batch.after_}, {"update_up_to", batch.upTo_.revision_}});
}

auto StoreFeed::watchOnce(platform::StorePosition after, Milliseconds watchTimeout) -> Status
{
    const auto watchCall = std::make_shared<platform::WatchCall>();
    {
        const auto lock = std::scoped_lock(mutex_);
        watchCall_ = watchCall;
        if (stopping_) {
            watchCall->cancel();
        }
    }
    const auto requestedAt = BootClock::now();
    auto changes = std::vector<platform::WatchEvent>();
    const auto next
        = store_->watch({.key_ = options_.keyPrefix_, .isPrefix_ = true, .after_ = after, .timeout_ = watchTimeout},
            *watchCall, [&changes](const platform::WatchEvent &event) {
                changes.push_back(event);
            });
    if (!next) {
        return next.failure();
    }
    // A watch that returns without events confirms that there were none until it timed out at the store. The store
    // started to wait no earlier than the request was sent.
    const auto waitedUntil = std::min<BootTime>(requestedAt + watchTimeout, BootClock::now());
    const auto lock = std::scoped_lock(mutex_);
    notifyChanges(state_->applyRead(
        {.after_ = after.revision_, .upTo_ = *next, .changes_ = changes}, changes.empty() ? waitedUntil : requestedAt));
    notifyProgress();
    return std::nullopt;
}

auto StoreFeed::handleMessage(const wire::Message &message) -> void
{
    if (const auto *request = std::get_if<wire::StoreFollow>(&message)) {
        handleFollow(*request);
    } else if (const auto *update = std::get_if<wire::StoreChanges>(&message)) {
        handleChanges(*update);
    }
}

auto StoreFeed::handleFollow(const wire::StoreFollow &request) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    state_->recordRequest(internal::parseFollow(request), BootClock::now());
    updateFollower(request.router_.name_);
}

auto StoreFeed::handleChanges(const wire::StoreChanges &message) -> void
{
    const auto update = internal::parseChanges(message);
    const auto lock = std::scoped_lock(mutex_);
    if (message.router_.name_ != source_) {
        return;
    }
    const auto confirmedBefore = state_->confirmedAt();
    if (sourceOutages_ && message.outages_ > *sourceOutages_) {
        notifyFailure({.step_ = "relay", .peer_ = message.router_.name_, .reason_ = "the store was unavailable"});
    }
    sourceOutages_ = message.outages_;
    const auto step = state_->applyUpdate(update, BootClock::now());
    notifyChanges(step);
    if (std::holds_alternative<relay::MissingChanges>(step)) {
        gapCounter_->add();
        logGap(update.batch_);
        gap_ = true;
        changed_.notify_all();
    }
    if (state_->confirmedAt() != confirmedBefore) {
        selector_->recordSuccess(message.router_.name_);
        notifyProgress();
    }
    updateFollowers();
}

auto StoreFeed::notifyChanges(const relay::BatchStep &step) -> void
{
    if (const auto *news = std::get_if<relay::NewChanges>(&step)) {
        for (const auto &change : news->changes_) {
            notifyEvent(change);
        }
    }
}

auto StoreFeed::notifyEvent(const platform::WatchEvent &event) -> void
{
    const auto *put = std::get_if<platform::KeyPut>(&event);
    const auto &key = put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_;
    for (const auto &listener : listeners_) {
        if (key.starts_with(listener.keyPrefix_)) {
            environment_->contain("apply a change of the store", [&listener, &event] {
                listener.onEvent_(event);
            });
        }
    }
}

auto StoreFeed::notifyFailure(const Failure &failure) -> void
{
    for (const auto &listener : listeners_) {
        if (listener.onFailure_) {
            listener.onFailure_(failure);
        }
    }
}

auto StoreFeed::notifyProgress() -> void
{
    for (const auto &listener : listeners_) {
        if (listener.onProgress_) {
            listener.onProgress_(*state_->confirmedAt());
        }
    }
}

auto StoreFeed::updateFollowers() -> void
{
    for (const auto &router : state_->followers(BootClock::now())) {
        updateFollower(router);
    }
}

auto StoreFeed::updateFollower(const std::string &router) -> void
{
    if (const auto update = state_->takeUpdate(router)) {
        network_->send(router, internal::makeChanges(environment_->identity().node_, *update, outages_));
    }
}

auto StoreFeed::age() const -> std::optional<BootClock::duration>
{
    const auto confirmedAt = state_->confirmedAt();
    return confirmedAt ? std::optional(BootClock::now() - *confirmedAt) : std::nullopt;
}

} // namespace jasminewood::forward
