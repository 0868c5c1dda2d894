// Cases of docs/design/store-restore.md: a store that comes back from a copy.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/feed/object_feed.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr RetentionOptions kOfUpstreams{ .m_missingHold = Milliseconds(2300),
                                         .m_laterHold = Seconds(10) };
constexpr RetentionOptions kOfConfigurations{ .m_laterHold = std::nullopt };
constexpr RetentionOptions kOfEvacuations{ .m_missingHold = Seconds(5),
                                           .m_laterHold = Milliseconds(2300) };

FeedObject
Object(const char* aName,
       StorePosition aPosition,
       const char* aPayload,
       EntryOrder aOrder = {})
{
  return { .m_name = aName,
           .m_position = aPosition,
           .m_payload = aPayload,
           .m_order = aOrder };
}

// Applies a complete list as a reader of the store does.
void
List(ObjectFeed& aFeed,
     StorePosition aAsOf,
     const std::vector<FeedObject>& aObjects,
     TimePoint aNow = kStart)
{
  std::vector<std::string> names;
  for (const FeedObject& object : aObjects) {
    (void)aFeed.Apply(object, aAsOf);
    names.push_back(object.m_name);
  }
  (void)aFeed.RemoveAllExcept(names, aAsOf);
  aFeed.ForgetRemovalsUpTo(aAsOf);
  aFeed.MarkCompleteTo(aAsOf, aNow);
}

// Applies the answer of a watch with one change.
void
Watch(ObjectFeed& aFeed, const FeedObject& aObject, StorePosition aAsOf)
{
  (void)aFeed.Apply(aObject, aAsOf);
  aFeed.MarkCompleteTo(aAsOf, kStart);
}

std::vector<std::string>
MergeFrom(ObjectFeed& aTo, const ObjectFeed& aFrom, TimePoint aNow = kStart)
{
  std::vector<std::string> changed;
  aTo.Merge(aFrom.ChangesSince(aTo.CompleteTo(), aNow),
            aNow,
            [&](const FeedObject& aObject) {
              changed.push_back(aObject.m_name +
                                (aObject.m_deleted ? "-" : "+"));
            });
  return changed;
}

// Returns the payload in force, or "gone".
std::string
InForce(const ObjectFeed& aFeed, const char* aName)
{
  const FeedObject* object = aFeed.Find(aName);
  return object == nullptr || object->m_deleted ? "gone" : object->m_payload;
}

using Names = std::vector<std::string>;

// Guards against statements of the restored store that count as older until it
// has passed its old revision.
DOCTEST_TEST_CASE("the era goes before the revision")
{
  ObjectFeed feed;
  List(feed, { 1, 500 }, { Object("a", { 1, 400 }, "old") });
  List(feed, { 2, 100 }, { Object("a", { 2, 90 }, "new") });
  DOCTEST_CHECK(InForce(feed, "a") == "new");
  DOCTEST_CHECK(feed.CompleteTo() == StorePosition{ 2, 100 });
  DOCTEST_CHECK(feed.ContentPosition() == StorePosition{ 2, 100 });
}

// Guards against a feed that a reader which lags puts back into the old era.
DOCTEST_TEST_CASE("late answers and deltas of the old era are ignored")
{
  ObjectFeed lagging;
  List(lagging, { 1, 600 }, { Object("a", { 1, 550 }, "old") });
  ObjectFeed feed;
  List(feed, { 2, 100 }, { Object("a", { 2, 90 }, "new") });
  DOCTEST_SUBCASE("list")
  {
    List(feed, { 1, 600 }, { Object("b", { 1, 600 }, "old") });
  }
  DOCTEST_SUBCASE("watch")
  {
    Watch(feed, Object("a", { 1, 600 }, "old"), { 1, 600 });
  }
  DOCTEST_SUBCASE("removal")
  {
    Watch(feed, { .m_name = "a", .m_deleted = true }, { 1, 600 });
  }
  DOCTEST_SUBCASE("delta")
  {
    DOCTEST_CHECK(MergeFrom(feed, lagging).empty());
  }
  DOCTEST_CHECK(InForce(feed, "a") == "new");
  DOCTEST_CHECK(InForce(feed, "b") == "gone");
  DOCTEST_CHECK(feed.CompleteTo() == StorePosition{ 2, 100 });
}

// Guards against an object that only the old era had and that a peer keeps for
// good: the changes since the peer's position do not name it.
DOCTEST_TEST_CASE("a peer of the old era gets a snapshot")
{
  ObjectFeed feed(kOfUpstreams);
  ObjectFeed peer(kOfUpstreams);
  List(feed, { 1, 500 }, { Object("a", { 1, 400 }, "x") });
  List(feed, { 2, 100 }, { Object("a", { 2, 90 }, "y") });
  List(peer, { 1, 600 }, { Object("b", { 1, 600 }, "x") });
  DOCTEST_CHECK(peer.Watermark(kStart).m_content <
                feed.Watermark(kStart).m_content);
  DOCTEST_CHECK(feed.ChangesSince(peer.CompleteTo(), kStart).m_isSnapshot);
  DOCTEST_CHECK(MergeFrom(peer, feed) == Names{ "a+" });
  DOCTEST_CHECK(InForce(peer, "a") == "y");
  DOCTEST_CHECK(peer.ReleaseRetained(kStart + Milliseconds(2300)) ==
                Names{ "b" });
  DOCTEST_CHECK(InForce(peer, "b") == "gone");
}

// Guards against two contents of one number: each drill gives revision 90 out
// again.
DOCTEST_TEST_CASE("each of several drills replaces what the last one stated")
{
  ObjectFeed feed;
  for (uint64_t era = 1; era < 5; ++era) {
    std::string payload = std::to_string(era);
    List(feed,
         { era, 100 },
         { Object("a", { era, 90 }, payload.c_str()) },
         kStart);
    DOCTEST_CHECK(InForce(feed, "a") == payload);
    DOCTEST_CHECK(feed.CompleteTo() == StorePosition{ era, 100 });
  }
}

// Guards against a configuration that goes back to the copy's version.
DOCTEST_TEST_CASE("a configuration stays until a write that is not older")
{
  ObjectFeed feed(kOfConfigurations);
  List(feed, { 1, 500 }, { Object("main", { 1, 500 }, "v7", { 7, 0 }) });
  List(feed, { 2, 100 }, { Object("main", { 2, 60 }, "v5", { 5, 0 }) });
  DOCTEST_CHECK(InForce(feed, "main") == "v7");
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(3600)).empty());
  DOCTEST_CHECK(InForce(feed, "main") == "v7");
  // Peers are told the truth.
  FeedDelta delta = feed.ChangesSince({}, kStart);
  DOCTEST_CHECK(delta.m_objects.at(0).m_payload == "v5");
  DOCTEST_CHECK(delta.m_retained.at(0).m_object.m_payload == "v7");
  DOCTEST_CHECK(delta.m_retained.at(0).m_against == StorePosition{ 2, 60 });
  DOCTEST_SUBCASE("a lower version written after the entry does not replace")
  {
    Watch(feed, Object("main", { 2, 101 }, "v6", { 6, 0 }), { 2, 101 });
    DOCTEST_CHECK(InForce(feed, "main") == "v7");
    // An instance that starts takes the same.
    ObjectFeed starting(kOfConfigurations);
    (void)MergeFrom(starting, feed);
    DOCTEST_CHECK(InForce(starting, "main") == "v7");
    Watch(feed, Object("main", { 2, 102 }, "v7b", { 7, 0 }), { 2, 102 });
    DOCTEST_CHECK(InForce(feed, "main") == "v7b");
    DOCTEST_CHECK(feed.RetainedCount() == 0);
  }
  DOCTEST_SUBCASE("a lower version from before the entry does not")
  {
    Watch(feed, Object("main", { 2, 99 }, "v6", { 6, 0 }), { 2, 100 });
    DOCTEST_CHECK(InForce(feed, "main") == "v7");
  }
  DOCTEST_SUBCASE("the same version from before the entry replaces")
  {
    Watch(feed, Object("main", { 2, 99 }, "v7b", { 7, 0 }), { 2, 100 });
    DOCTEST_CHECK(InForce(feed, "main") == "v7b");
    DOCTEST_CHECK(feed.RetainedCount() == 0);
  }
}

// Guards against a version that was given out again with another content and
// that is taken for the known one.
DOCTEST_TEST_CASE("the same version with another content replaces")
{
  ObjectFeed feed(kOfConfigurations);
  List(feed, { 1, 500 }, { Object("main", { 1, 500 }, "v7", { 7, 0 }) });
  List(feed, { 2, 100 }, { Object("main", { 2, 60 }, "v7b", { 7, 0 }) });
  DOCTEST_CHECK(InForce(feed, "main") == "v7b");
  DOCTEST_CHECK(feed.RetainedCount() == 0);
}

// Guards against requests to an upstream that drains or is gone, which the
// copy states to be ready.
DOCTEST_TEST_CASE("a later state of an upstream stays for ten seconds")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 499 }, { Object("up", { 1, 450 }, "draining", { 9, 5 }) });
  std::string known = "draining";
  DOCTEST_SUBCASE("draining") {}
  DOCTEST_SUBCASE("gone")
  {
    Watch(feed, { .m_name = "up", .m_deleted = true }, { 1, 500 });
    known = "gone";
  }
  DOCTEST_SUBCASE("gone, and the copy has the last state")
  {
    Watch(feed, Object("up", { 1, 500 }, "ready", { 9, 3 }), { 1, 500 });
    Watch(feed, { .m_name = "up", .m_deleted = true }, { 1, 501 });
    known = "gone";
  }
  FeedObject copy = Object("up", { 2, 60 }, "ready", { 9, 3 });
  List(feed, { 2, 100 }, { copy });
  DOCTEST_CHECK(InForce(feed, "up") == known);
  // A later statement that may be the copy's does not prolong the time.
  copy.m_position = { 2, 99 };
  List(feed, { 2, 100 }, { copy }, kStart + Seconds(5));
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(9999)).empty());
  DOCTEST_CHECK(InForce(feed, "up") == known);
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(10)) == Names{ "up" });
  DOCTEST_CHECK(InForce(feed, "up") == "ready");
}

// Guards against an upstream that returned and gets no requests.
DOCTEST_TEST_CASE("the same or a later order of an upstream is in force")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 500 }, { Object("up", { 1, 500 }, "draining", { 9, 5 }) });
  EntryOrder order;
  DOCTEST_SUBCASE("the same order")
  {
    order = { 9, 5 };
  }
  DOCTEST_SUBCASE("a later sequence")
  {
    order = { 9, 6 };
  }
  DOCTEST_SUBCASE("a later start")
  {
    order = { 10, 1 };
  }
  List(feed, { 2, 100 }, { Object("up", { 2, 60 }, "ready", order) });
  DOCTEST_CHECK(InForce(feed, "up") == "ready");
  DOCTEST_CHECK(feed.RetainedCount() == 0);
}

DOCTEST_TEST_CASE("a write of an upstream after the entry ends the retention")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 500 }, { Object("up", { 1, 500 }, "draining", { 9, 5 }) });
  List(feed, { 2, 100 }, { Object("up", { 2, 60 }, "ready", { 9, 3 }) });
  Watch(feed, Object("up", { 2, 101 }, "ready", { 9, 4 }), { 2, 101 });
  DOCTEST_CHECK(InForce(feed, "up") == "ready");
  DOCTEST_CHECK(feed.RetainedCount() == 0);
}

// Guards against a fleet that loses all upstreams that registered within the
// last seconds, and against one that keeps those that are gone.
DOCTEST_TEST_CASE("an upstream that the copy lacks stays for its hold")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 500 }, { Object("up", { 1, 500 }, "ready", { 9, 5 }) });
  List(feed, { 2, 100 }, {});
  DOCTEST_CHECK(InForce(feed, "up") == "ready");
  DOCTEST_SUBCASE("it does not write again")
  {
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2299)).empty());
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2300)) ==
                  Names{ "up" });
    DOCTEST_CHECK(InForce(feed, "up") == "gone");
  }
  DOCTEST_SUBCASE("it writes again")
  {
    Watch(feed, Object("up", { 2, 101 }, "ready", { 9, 6 }), { 2, 101 });
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(60)).empty());
    DOCTEST_CHECK(InForce(feed, "up") == "ready");
  }
}

// Guards against upstreams that stay in force for good: their tombstones were
// pruned if the copy lacked more than 2000, and no change was reported.
DOCTEST_TEST_CASE("the end of a hold is reported for very many upstreams")
{
  ObjectFeed feed(kOfUpstreams);
  std::vector<FeedObject> objects;
  objects.reserve(2500);
  for (int i = 0; i < 2500; ++i) {
    objects.push_back(Object(std::to_string(i).c_str(), { 1, 3 }, "ready"));
  }
  List(feed, { 1, 3 }, objects);
  List(feed, { 2, 3 }, {});
  Names released = feed.ReleaseRetained(kStart + Milliseconds(2300));
  DOCTEST_CHECK(released.size() == 2500);
  DOCTEST_CHECK(std::ranges::all_of(released, [&](const std::string& aName) {
    return feed.Find(aName) != nullptr && feed.Find(aName)->m_deleted;
  }));
}

// Guards against an evacuated data centre that gets requests again while its
// operator writes the evacuation a second time.
DOCTEST_TEST_CASE("an evacuation that the copy lacks stays for five seconds")
{
  ObjectFeed feed(kOfEvacuations);
  List(feed, { 1, 500 }, { Object("zone", { 1, 500 }, "evacuated") });
  List(feed, { 2, 100 }, {});
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(4999)).empty());
  DOCTEST_CHECK(InForce(feed, "zone") == "evacuated");
  DOCTEST_SUBCASE("it is not written again")
  {
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(5)) == Names{ "zone" });
    DOCTEST_CHECK(InForce(feed, "zone") == "gone");
  }
  DOCTEST_SUBCASE("it is written again")
  {
    Watch(feed, Object("zone", { 2, 101 }, "evacuated"), { 2, 101 });
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(5)).empty());
    DOCTEST_CHECK(InForce(feed, "zone") == "evacuated");
  }
}

// Guards against a data centre that loses its requests to an evacuation which
// was taken back.
DOCTEST_TEST_CASE("an evacuation that was taken back stays so for its hold")
{
  ObjectFeed feed(kOfEvacuations);
  List(feed, { 1, 499 }, { Object("zone", { 1, 60 }, "evacuated") });
  Watch(feed, { .m_name = "zone", .m_deleted = true }, { 1, 500 });
  List(feed, { 2, 100 }, { Object("zone", { 2, 60 }, "evacuated") });
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2299)).empty());
  DOCTEST_CHECK(InForce(feed, "zone") == "gone");
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2300)) ==
                Names{ "zone" });
  DOCTEST_CHECK(InForce(feed, "zone") == "evacuated");
}

// Guards against an instance that starts during the holds and routes by the
// copy.
DOCTEST_TEST_CASE("an instance that starts adopts what a peer retains")
{
  ObjectFeed peer(kOfUpstreams);
  List(peer,
       { 1, 500 },
       { Object("drains", { 1, 500 }, "draining", { 9, 5 }),
         Object("lost", { 1, 498 }, "ready", { 9, 1 }) });
  FeedObject copy = Object("drains", { 2, 60 }, "ready", { 9, 3 });
  List(peer, { 2, 100 }, { copy });
  ObjectFeed feed(kOfUpstreams);
  TimePoint later = kStart + Seconds(1);
  Names changed = MergeFrom(feed, peer, later);
  DOCTEST_CHECK(std::ranges::count(changed, "lost+") == 1);
  DOCTEST_CHECK(InForce(feed, "drains") == "draining");
  DOCTEST_CHECK(InForce(feed, "lost") == "ready");
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2299)).empty());
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2300)) ==
                Names{ "lost" });
  DOCTEST_CHECK(feed.ReleaseRetained(kStart + Seconds(10)) ==
                Names{ "drains" });
  DOCTEST_CHECK(InForce(feed, "drains") == "ready");
}

// Guards against a peer that puts an older state over a later statement.
DOCTEST_TEST_CASE("what a peer retains does not replace a later statement")
{
  ObjectFeed peer(kOfUpstreams);
  List(peer, { 1, 500 }, { Object("up", { 1, 500 }, "draining", { 9, 5 }) });
  List(peer, { 2, 100 }, { Object("up", { 2, 60 }, "ready", { 9, 3 }) });
  ObjectFeed feed(kOfUpstreams);
  DOCTEST_SUBCASE("written after the restore")
  {
    List(feed, { 2, 99 }, { Object("up", { 2, 99 }, "ready", { 9, 4 }) });
  }
  DOCTEST_SUBCASE("a greater order")
  {
    List(feed, { 2, 100 }, { Object("up", { 2, 60 }, "ready", { 9, 6 }) });
  }
  DOCTEST_SUBCASE("a later era")
  {
    List(feed, { 3, 10 }, { Object("up", { 3, 9 }, "ready", { 9, 3 }) });
  }
  DOCTEST_CHECK(MergeFrom(feed, peer).empty());
  DOCTEST_CHECK(InForce(feed, "up") == "ready");
  DOCTEST_CHECK(feed.RetainedCount() == 0);
}

// Guards against a configuration of an older version, or requests to an
// upstream that drains, at an instance that lagged when the store was restored.
DOCTEST_TEST_CASE("a later state that a peer retains replaces a retained one")
{
  ObjectFeed peer(kOfUpstreams);
  List(peer, { 1, 500 }, { Object("up", { 1, 500 }, "draining", { 9, 7 }) });
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 400 }, { Object("up", { 1, 400 }, "ready", { 9, 5 }) });
  FeedObject copy = Object("up", { 2, 60 }, "ready", { 9, 4 });
  DOCTEST_SUBCASE("the peer knows the later state")
  {
    List(peer, { 2, 100 }, { copy });
    DOCTEST_CHECK(MergeFrom(feed, peer) == Names{ "up+" });
    DOCTEST_CHECK(InForce(feed, "up") == "draining");
  }
  DOCTEST_SUBCASE("the peer knows the later state, and the copy lacks both")
  {
    List(peer, { 2, 100 }, {});
    DOCTEST_CHECK(MergeFrom(feed, peer) == Names{ "up+" });
    DOCTEST_CHECK(InForce(feed, "up") == "draining");
    DOCTEST_CHECK(feed.ReleaseRetained(kStart + Milliseconds(2300)) ==
                  Names{ "up" });
    copy = Object("up", { 3, 60 }, "ready", { 9, 6 });
    List(feed, { 3, 90 }, { copy });
    DOCTEST_CHECK(InForce(feed, "up") == "gone");
  }
  DOCTEST_SUBCASE("the peer knows an earlier state")
  {
    List(feed, { 2, 100 }, { copy });
    DOCTEST_CHECK(MergeFrom(peer, feed).empty());
    DOCTEST_CHECK(InForce(peer, "up") == "draining");
  }
}

// Guards against requests to an upstream that was removed long after a restore:
// an instance that was suspended over both held it for the whole time again.
DOCTEST_TEST_CASE("an instance that enters an era late begins no hold anew")
{
  FeedObject up = Object("up", { 1, 3 }, "ready", { 9, 1 });
  ObjectFeed reader(kOfUpstreams);
  ObjectFeed late(kOfUpstreams);
  List(reader, { 1, 10 }, { up });
  List(late, { 1, 10 }, { up });
  up.m_position = { 2, 3 };
  List(reader, { 2, 6 }, { up });
  Watch(reader, { .m_name = "up", .m_deleted = true }, { 2, 8 });
  TimePoint later = kStart + Seconds(60);
  (void)MergeFrom(late, reader, later);
  (void)late.ReleaseRetained(later);
  DOCTEST_CHECK(InForce(late, "up") == "gone");
}

// Guards against an upstream that is gone and that a peer which lagged puts
// back into the feeds of those that know it.
DOCTEST_TEST_CASE("what a peer retains does not replace a known removal")
{
  FeedObject up = Object("up", { 1, 3 }, "ready", { 9, 1 });
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 3 }, { up });
  Watch(feed, { .m_name = "up", .m_deleted = true }, { 1, 16 });
  up.m_position = { 2, 3 };
  List(feed, { 2, 17 }, { up });
  ObjectFeed peer(kOfUpstreams);
  up.m_position = { 1, 3 };
  List(peer, { 1, 10 }, { up });
  List(peer, { 3, 19 }, {});
  DOCTEST_CHECK(InForce(peer, "up") == "ready");
  DOCTEST_CHECK(MergeFrom(feed, peer).empty());
  DOCTEST_CHECK(InForce(feed, "up") == "gone");
}

// Guards against a removal that a peer which lagged tells, with an older last
// state than the one that this feed knows, and that the copy then outranks.
DOCTEST_TEST_CASE("a removal that a peer tells keeps the known order")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed, { 1, 21 }, { Object("up", { 1, 21 }, "draining", { 9, 5 }) });
  ObjectFeed peer(kOfUpstreams);
  List(peer, { 1, 12 }, { Object("up", { 1, 12 }, "ready", { 9, 2 }) });
  Watch(peer, { .m_name = "up", .m_deleted = true }, { 1, 25 });
  DOCTEST_CHECK(MergeFrom(feed, peer) == Names{ "up-" });
  List(feed, { 2, 21 }, { Object("up", { 2, 17 }, "ready", { 9, 4 }) });
  DOCTEST_CHECK(InForce(feed, "up") == "gone");
}

// Guards against what a first drill left in force being lost in a second one
// before the writers have written again; they count their time from the last.
DOCTEST_TEST_CASE("retained states survive a second drill")
{
  ObjectFeed feed(kOfUpstreams);
  List(feed,
       { 1, 500 },
       { Object("drains", { 1, 500 }, "draining", { 9, 5 }),
         Object("lost", { 1, 498 }, "ready", { 9, 1 }) });
  FeedObject copy = Object("drains", { 2, 60 }, "ready", { 9, 3 });
  List(feed, { 2, 100 }, { copy });
  TimePoint second = kStart + Seconds(2);
  copy.m_position = { 3, 60 };
  List(feed, { 3, 90 }, { copy }, second);
  DOCTEST_CHECK(InForce(feed, "drains") == "draining");
  DOCTEST_CHECK(InForce(feed, "lost") == "ready");
  DOCTEST_CHECK(feed.ReleaseRetained(second + Milliseconds(2299)).empty());
  DOCTEST_CHECK(feed.ReleaseRetained(second + Milliseconds(2300)) ==
                Names{ "lost" });
  DOCTEST_CHECK(feed.ReleaseRetained(second + Milliseconds(9999)).empty());
  DOCTEST_CHECK(feed.ReleaseRetained(second + Seconds(10)) ==
                Names{ "drains" });
}

} // namespace
} // namespace ebonykeel
