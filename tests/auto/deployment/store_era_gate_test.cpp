#include "quincewing/deployment/store_era_gate.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace quincewing;

namespace {

const store_era no_era{};
const store_era first{1};
const store_era second{2};
const log_offset some_offset{7};

/// A gate before a store whose answers the test gives.
class gated_store
{
public:
    void newest()
    {
        store_.newest(store_stream::servers, [this](store_page it) { passed_on(std::move(it)); });
    }
    void read()
    {
        store_.read(store_stream::servers, some_offset, {},
                    [this](store_page it) { passed_on(std::move(it)); });
    }
    void append(std::optional<log_offset> at)
    {
        store_.append(store_stream::hosts, {.key = "h"}, at, [this](store_append_result it) {
            events.push_back(std::string{"append "} + to_string(it.status));
            appended = it;
        });
    }
    /// Answers the oldest call that has no answer.
    void answer(store_era era)
    {
        const auto reply = std::exchange(replies_.front(), nullptr);
        replies_.erase(replies_.begin());
        reply(era);
    }
    /// A call and its answer at once.
    void learn(store_era era)
    {
        newest();
        answer(era);
        events.clear();
    }

    std::vector<std::string> events;
    store_page page;
    store_append_result appended;
    store_era_gate gate{{.on_change =
                             [this](store_era from, store_era to) {
                                 events.push_back("era " + std::to_string(from.value) + " to " +
                                                  std::to_string(to.value));
                             },
                         .on_stale =
                             [this](store_era told, store_era known) {
                                 events.push_back("stale " + std::to_string(told.value) + " of " +
                                                  std::to_string(known.value));
                             }}};

private:
    void passed_on(store_page it)
    {
        events.push_back(std::string{"page "} + to_string(it.status));
        page = std::move(it);
    }
    std::function<void(store_era)> reply_page(std::function<void(store_page)> done)
    {
        return [done = std::move(done)](store_era era) {
            done({.status = store_status::ok,
                  .records = {{.key = "k", .value = "v"}},
                  .end = some_offset,
                  .era = era});
        };
    }

    std::vector<std::function<void(store_era)>> replies_;
    store_api store_{gate.wrap(
        {.newest = [this](store_stream,
                          auto done) { replies_.push_back(reply_page(std::move(done))); },
         .read = [this](store_stream, log_offset, duration,
                        auto done) { replies_.push_back(reply_page(std::move(done))); },
         .append =
             [this](store_stream, const store_record&, std::optional<log_offset>, auto done) {
                 replies_.emplace_back([done = std::move(done)](store_era era) {
                     done({.status = store_status::ok, .end = some_offset, .era = era});
                 });
             }})};
};

using events = std::vector<std::string>;

} // namespace

TEST_CASE("store era gate: the first era is learnt before the answer that tells it is passed on")
{
    gated_store it;
    it.newest();
    it.answer(first);
    CHECK(it.events == events{"era 0 to 1", "page ok"});
    CHECK(it.gate.era() == first);
    CHECK(it.page.records.size() == 1);
}

TEST_CASE("store era gate: calls that were sent before any era was known are passed on")
{
    gated_store it;
    it.read();
    it.append(some_offset);
    it.answer(first);
    it.answer(first);
    CHECK(it.events == events{"era 0 to 1", "page ok", "append ok"});
}

TEST_CASE("store era gate: a rise is told before the answer that tells it is passed on")
{
    gated_store it;
    it.learn(first);
    it.newest();
    it.answer(second);
    CHECK(it.events == events{"era 1 to 2", "page ok"});
    it.events.clear();
    it.newest();
    it.answer(second);
    CHECK(it.events == events{"page ok"});
}

TEST_CASE("store era gate: an era that rises by more than one is told once")
{
    gated_store it;
    it.learn(first);
    it.newest();
    it.answer(store_era{5});
    CHECK(it.events == events{"era 1 to 5", "page ok"});
}

// Guards against records of before the store came back that are taken for those of today.
TEST_CASE("store era gate: an answer of an earlier era is dropped")
{
    gated_store it;
    it.learn(first);
    it.newest();
    it.read();
    it.append({});
    it.append(some_offset);
    it.gate.on_told(second);
    for (int i = 0; i < 4; ++i) {
        it.answer(first);
    }
    CHECK(it.events == events{"era 1 to 2", "stale 1 of 2", "page unknown", "stale 1 of 2",
                              "page unknown", "stale 1 of 2", "append unknown", "stale 1 of 2",
                              "append unknown"});
    CHECK(it.page.records.empty());
    CHECK(it.page.era == first);
    CHECK(it.appended.end == log_offset{});
}

// Guards against records behind an offset that the store has given out again.
TEST_CASE("store era gate: a read from an offset of an earlier era is dropped")
{
    gated_store it;
    it.learn(first);
    it.read();
    it.answer(second);
    CHECK(it.events == events{"era 1 to 2", "page dropped"});
    CHECK(it.page.records.empty());
    CHECK(it.page.era == second);
}

// Guards against an append at an offset that names other records than its writer has read.
TEST_CASE("store era gate: an append on condition of an earlier era is unknown")
{
    gated_store it;
    it.learn(first);
    it.append(some_offset);
    it.answer(second);
    CHECK(it.events == events{"era 1 to 2", "append unknown"});
    CHECK(it.appended.end == log_offset{});
}

TEST_CASE("store era gate: an append without a condition holds in the next era")
{
    gated_store it;
    it.learn(first);
    it.append({});
    it.answer(second);
    CHECK(it.events == events{"era 1 to 2", "append ok"});
    CHECK(it.appended.end == some_offset);
}

TEST_CASE("store era gate: a store that never tells an era is used as it is")
{
    gated_store it;
    it.newest();
    it.read();
    it.append(some_offset);
    for (int i = 0; i < 3; ++i) {
        it.answer(no_era);
    }
    CHECK(it.events == events{"page ok", "page ok", "append ok"});
    CHECK(it.gate.era() == no_era);
}

TEST_CASE("store era gate: an answer without an era is of the era in which its call was sent")
{
    gated_store it;
    it.learn(first);
    it.read();
    it.answer(no_era);
    CHECK(it.events == events{"page ok"});
    it.events.clear();
    it.read();
    it.append({});
    it.gate.on_told(second);
    it.answer(no_era);
    it.answer(no_era);
    CHECK(it.events ==
          events{"era 1 to 2", "stale 1 of 2", "page unknown", "stale 1 of 2", "append unknown"});
}

TEST_CASE("store era gate: an era that falls is told as stale and changes nothing")
{
    gated_store it;
    it.learn(second);
    it.newest();
    it.answer(first);
    CHECK(it.events == events{"stale 1 of 2", "page unknown"});
    CHECK(it.gate.era() == second);
}

TEST_CASE("store era gate: another host tells an era")
{
    gated_store it;
    it.gate.on_told(no_era);
    CHECK(it.events.empty());
    it.gate.on_told(first);
    it.gate.on_told(second);
    it.gate.on_told(first);
    CHECK(it.events == events{"era 0 to 1", "era 1 to 2"});
    it.events.clear();
    // The store's own answer tells nothing new then, but the offset is of the era before.
    it.read();
    it.gate.on_told(store_era{3});
    it.answer(store_era{3});
    CHECK(it.events == events{"era 2 to 3", "page dropped"});
}

TEST_CASE("store era gate: stale answers are dropped without a hook for them")
{
    store_era_gate gate{{.on_change = [](store_era, store_era) {}}};
    store_status got = store_status::ok;
    const auto store = gate.wrap({.newest = [](store_stream, const auto& done) {
        done({.status = store_status::ok, .era = first});
    }});
    gate.on_told(second);
    store.newest(store_stream::servers, [&](const store_page& it) { got = it.status; });
    CHECK(got == store_status::unknown);
}
