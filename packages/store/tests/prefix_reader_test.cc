#include "cornelrelay/store/prefix_reader.h"

#include <catch2/catch.hpp>

#include "cornelrelay/store/item_cache.h"

namespace cornelrelay::store {
namespace {

using std::chrono::milliseconds;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }

template <class Action>
const Action* Find(const PrefixReader::Actions& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

template <class Request>
const Request* Called(const PrefixReader::Actions& actions) {
  const auto* call = Find<CallStore>(actions);
  return call ? std::get_if<Request>(&call->request) : nullptr;
}

}  // namespace

TEST_CASE("the watch starts at the revision of the first page") {
  PrefixReader reader("servers/", {}, 1);
  REQUIRE(Called<ReadPrefix>(reader.Start(At(0))));
  auto actions = reader.OnReply(At(1), PrefixRead{{{"servers/a", "1", 4}}, true, {0, 10}});
  REQUIRE(Called<ReadPrefix>(actions));
  CHECK(Called<ReadPrefix>(actions)->after_key == "servers/a");
  // The item of the first page changed at revision 11, while the second page was read.
  actions = reader.OnReply(At(2), PrefixRead{{{"servers/b", "2", 12}}, false, {0, 12}});
  REQUIRE(Find<ItemsRead>(actions));
  CHECK(Find<ItemsRead>(actions)->items.size() == 2);
  REQUIRE(Called<WatchPrefix>(actions));
  CHECK(Called<WatchPrefix>(actions)->after == 10);
}

// Load pattern: many processes register at the same time.
TEST_CASE("a burst of changes costs a few watches, and its first change does not wait") {
  PrefixReader reader("servers/", {}, 1);
  reader.Start(At(0));
  REQUIRE(Called<WatchPrefix>(reader.OnReply(At(1), PrefixRead{{}, false, {0, 10}})));
  // A change every 30 ms for 3 s, as long as the store has a watch to answer.
  bool watching = true;
  int watches = 0;
  StoreRevision known = 10;
  for (std::int64_t ms = 1'000; ms < 4'000; ms += 30) {
    const auto revision = static_cast<StoreRevision>(10 + ms);
    PrefixReader::Actions actions;
    if (watching) {
      actions =
          reader.OnReply(At(ms), PrefixChanged{{{"servers/a", "1", revision}}, {0, revision}});
      REQUIRE(Find<ItemsChanged>(actions));
      known = revision;
    } else if (reader.NextWake() && *reader.NextWake() <= At(ms)) {
      actions = reader.OnTick(At(ms));
    }
    watching = Called<WatchPrefix>(actions) != nullptr;
    if (!watching) continue;
    ++watches;
    CHECK(Called<WatchPrefix>(actions)->after == known);
  }
  CHECK(watches >= 2);
  CHECK(watches <= 10);
}

TEST_CASE("lost history leads to a new read of everything") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.OnReply(At(1), PrefixRead{{}, false, {0, 10}});
  CHECK(Called<ReadPrefix>(reader.OnReply(At(2), HistoryLost{})));
}

TEST_CASE("one broken watch is repeated, two are an outage that ends with a full read") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.OnReply(At(1), PrefixRead{{}, false, {0, 10}});
  CHECK_FALSE(Find<StoreLinkLost>(reader.OnReply(At(2), TimedOut{})));
  REQUIRE(reader.NextWake());
  const auto again = reader.OnTick(*reader.NextWake());
  REQUIRE(Called<WatchPrefix>(again));
  CHECK(Called<WatchPrefix>(again)->after == 10);
  CHECK(Find<StoreLinkLost>(reader.OnReply(At(200), Unavailable{})));
  CHECK(Called<ReadPrefix>(reader.OnTick(*reader.NextWake())));
  CHECK(Find<StoreLinkRegained>(reader.OnReply(At(900), PrefixRead{{}, false, {0, 12}})));
  CHECK(reader.linked());
}

TEST_CASE("the delay between trials stays below the ceiling, so that a return is noticed") {
  PrefixReader reader("", {}, 7);
  reader.Start(At(0));
  core::Instant now = At(0);
  for (int i = 0; i < 30; ++i) {
    reader.OnReply(now, Unavailable{});
    REQUIRE(reader.NextWake());
    CHECK(*reader.NextWake() - now <= std::chrono::seconds(1));
    now = *reader.NextWake();
    reader.OnTick(now);
  }
}

TEST_CASE("the copy of the items never goes back") {
  ItemCache cache;
  CHECK(cache.Merge({{"k", "new", 9}}, {0, 9}).size() == 1);
  CHECK(cache.Merge({{"k", "old", 5}}, {0, 5}).empty());
  CHECK(cache.version() == StoreVersion{0, 9});
  CHECK(cache.Merge({{"k", std::nullopt, 10}}, {0, 10}).size() == 1);
  CHECK(cache.Merge({{"k", "new", 9}}, {0, 9}).empty());
  REQUIRE(cache.Since(8).size() == 1);
  CHECK_FALSE(cache.Since(8).front().value);
}

TEST_CASE("a full read deletes what it lacks, but nothing newer than itself") {
  ItemCache cache;
  cache.Merge({{"servers/a", "1", 3}, {"servers/b", "1", 12}, {"op/c", "1", 2}}, {0, 12});
  const auto changes = cache.Replace("servers/", {}, {0, 10});
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().key == "servers/a");
  CHECK_FALSE(changes.front().value);
}

// The cases below guard against CONFIG of issue 27: changes that were made after the store had been
// restored from an older copy were ignored, because they had lower revisions than those before.
TEST_CASE("changes of a restored store count, though their revisions are lower") {
  ItemCache cache;
  cache.Replace("", {{"a", "1", 3}, {"b", "1", 50}, {"c", "1", 60}}, {1, 60});
  // The copy is from before revision 50; the counter has passed 50 again since.
  const auto restored = cache.Replace("", {{"a", "1", 3}, {"b", "0", 4}}, {2, 51});
  CHECK(cache.version() == StoreVersion{2, 51});
  REQUIRE(restored.size() == 3);
  CHECK(restored.back() == ItemChange{"c", std::nullopt, 51});
  CHECK(cache.Merge({{"b", "2", 52}}, {2, 52}).size() == 1);
}

TEST_CASE("what is late from before a restore changes nothing") {
  ItemCache cache;
  cache.Replace("", {{"a", "1", 60}}, {1, 60});
  cache.Replace("", {{"a", "0", 4}}, {2, 30});
  CHECK(cache.Merge({{"a", "2", 61}}, {1, 61}).empty());
  CHECK(cache.Replace("", {{"a", "2", 61}}, {1, 61}).empty());
  CHECK(cache.Since(0) == std::vector<ItemChange>{{"a", "0", 4}});
  CHECK(cache.version() == StoreVersion{2, 30});
}

TEST_CASE("changes of a newer era do not complete what is known of an older one") {
  ItemCache cache;
  cache.Replace("", {{"a", "1", 60}}, {1, 60});
  CHECK(cache.Merge({{"a", "2", 31}}, {2, 31}).empty());
  CHECK(cache.version() == StoreVersion{1, 60});
}

TEST_CASE("a watch that is answered in a newer era leads to a new read of everything") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.OnReply(At(1), PrefixRead{{}, false, {1, 60}});
  const auto actions = reader.OnReply(At(2), PrefixChanged{{{"a", "1", 61}}, {2, 61}});
  CHECK_FALSE(Find<ItemsChanged>(actions));
  REQUIRE(Called<ReadPrefix>(actions));
  const auto read = reader.OnReply(At(3), PrefixRead{{{"a", "1", 61}}, false, {2, 61}});
  REQUIRE(Find<ItemsRead>(read));
  CHECK(Find<ItemsRead>(read)->version == StoreVersion{2, 61});
}

TEST_CASE("pages from before and after a restore are not put together") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.OnReply(At(1), PrefixRead{{{"a", "1", 4}}, true, {1, 60}});
  const auto actions = reader.OnReply(At(2), PrefixRead{{{"b", "1", 5}}, false, {2, 30}});
  CHECK_FALSE(Find<ItemsRead>(actions));
  REQUIRE(Called<ReadPrefix>(actions));
  CHECK(Called<ReadPrefix>(actions)->after_key.empty());
}

// Load pattern: a large fleet, of which only a few processes follow the store.
TEST_CASE("a paused reader makes no calls, and goes on from what is known when it resumes") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  // The pages are read to the end, as there is nothing to go on from before.
  reader.Pause();
  REQUIRE(Called<ReadPrefix>(reader.OnReply(At(1), PrefixRead{{{"a", "1", 4}}, true, {0, 10}})));
  const auto read = reader.OnReply(At(2), PrefixRead{{}, false, {0, 10}});
  CHECK(Find<ItemsRead>(read));
  CHECK_FALSE(Find<CallStore>(read));
  CHECK_FALSE(reader.linked());
  CHECK(reader.OnTick(At(60'000)).empty());
  const auto resumed = reader.Resume(At(60'001), {0, 25});
  REQUIRE(Called<WatchPrefix>(resumed));
  CHECK(Called<WatchPrefix>(resumed)->after == 25);
  CHECK(reader.linked());
  CHECK(reader.Resume(At(60'002), {0, 25}).empty());
  // A watch that was begun before is not repeated.
  reader.Pause();
  CHECK(reader.Resume(At(60'003), {0, 26}).empty());
  CHECK(Called<WatchPrefix>(reader.OnReply(At(62'000), PrefixChanged{{}, {0, 26}})));
}

// A time that stays due would keep the process busy.
TEST_CASE("a reader that is paused between two watches is not due") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.OnReply(At(1), PrefixRead{{}, false, {0, 10}});
  reader.OnReply(At(100), PrefixChanged{{{"a", "1", 11}}, {0, 11}});
  REQUIRE(reader.NextWake());
  reader.Pause();
  CHECK_FALSE(reader.NextWake());
  CHECK(reader.OnTick(At(1'000)).empty());
  CHECK(Called<WatchPrefix>(reader.Resume(At(1'001), {0, 11})));
}

TEST_CASE("a reader that is paused before it has read anything repeats its read after a failure") {
  PrefixReader reader("", {}, 1);
  reader.Start(At(0));
  reader.Pause();
  reader.OnReply(At(1), Unavailable{});
  REQUIRE(Called<ReadPrefix>(reader.OnTick(At(1'000))));
  CHECK(Find<ItemsRead>(reader.OnReply(At(1'001), PrefixRead{{}, false, {0, 10}})));
  CHECK(reader.OnTick(At(9'000)).empty());
}

TEST_CASE("a reader with slow retries calls a store that fails a few times a minute") {
  for (const bool slow : {false, true}) {
    PrefixReader reader("", {}, 7);
    reader.SetSlowRetries(slow);
    reader.Start(At(0));
    int calls = 1;
    reader.OnReply(At(1), Unavailable{});
    for (std::int64_t ms = 2; ms < 60'000; ms += 10) {
      if (Find<CallStore>(reader.OnTick(At(ms)))) {
        ++calls;
        reader.OnReply(At(ms + 1), Unavailable{});
      }
    }
    CAPTURE(slow, calls);
    CHECK((calls <= 25) == slow);
  }
}

}  // namespace cornelrelay::store
