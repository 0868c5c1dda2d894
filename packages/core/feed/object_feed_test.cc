#include "core/feed/object_feed.h"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

// Returns a position of the only era of these tests.
constexpr StorePosition
At(uint64_t aRevision)
{
  return { .m_era = 1, .m_revision = aRevision };
}

FeedObject
Object(const char* aName, uint64_t aRevision, const char* aPayload = "x")
{
  return { .m_name = aName,
           .m_position = At(aRevision),
           .m_payload = aPayload };
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

DOCTEST_TEST_CASE("merging adds each missing object once")
{
  ObjectFeed reader;
  ObjectFeed other;
  DOCTEST_CHECK(reader.Apply(Object("a", 3), At(3)));
  reader.MarkCompleteTo(At(5), kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a+" });
  DOCTEST_CHECK(other.CompleteTo() == At(5));
  DOCTEST_CHECK(MergeFrom(other, reader).empty());
}

DOCTEST_TEST_CASE("a new revision with the same content is not a change")
{
  ObjectFeed feed;
  ObjectFeed peer;
  DOCTEST_CHECK(feed.Apply(Object("a", 3), At(3)));
  feed.MarkCompleteTo(At(3), kStart);
  (void)MergeFrom(peer, feed);
  DOCTEST_CHECK_FALSE(feed.Apply(Object("a", 9), At(9)));
  feed.MarkCompleteTo(At(9), kStart);
  DOCTEST_CHECK(MergeFrom(peer, feed).empty());
  // A list states the same again.
  DOCTEST_CHECK_FALSE(feed.Apply(Object("a", 9), At(11)));
  DOCTEST_CHECK(feed.Find("a")->m_position == At(9));
  DOCTEST_CHECK(feed.ContentPosition() == At(9));
}

// Guards against an upstream that stays unknown: a reader that missed how it
// left and returned unchanged told nothing to those that had seen it leave.
DOCTEST_TEST_CASE("an object that is back unchanged reaches all peers")
{
  ObjectFeed reader;
  ObjectFeed peer;
  (void)reader.Apply(Object("a", 3), At(3));
  reader.MarkCompleteTo(At(3), kStart);
  (void)peer.Apply(Object("a", 3), At(3));
  peer.MarkCompleteTo(At(3), kStart);
  (void)peer.Apply({ .m_name = "a", .m_position = At(3), .m_deleted = true },
                   At(7));
  peer.MarkCompleteTo(At(7), kStart);
  DOCTEST_CHECK_FALSE(reader.Apply(Object("a", 9), At(9)));
  reader.MarkCompleteTo(At(9), kStart);
  DOCTEST_CHECK(reader.Watermark(kStart).m_content == At(9));
  DOCTEST_CHECK(MergeFrom(peer, reader) == std::vector<std::string>{ "a+" });
}

DOCTEST_TEST_CASE("an older revision never replaces a newer one")
{
  ObjectFeed feed;
  DOCTEST_CHECK(feed.Apply(Object("a", 9, "new"), At(9)));
  DOCTEST_CHECK_FALSE(feed.Apply(Object("a", 3, "old"), At(3)));
  DOCTEST_CHECK(feed.Find("a")->m_payload == "new");
}

DOCTEST_TEST_CASE("removals propagate through deltas and snapshots")
{
  ObjectFeed reader;
  ObjectFeed other;
  (void)reader.Apply(Object("a", 3), At(3));
  (void)reader.Apply(Object("b", 4), At(4));
  reader.MarkCompleteTo(At(4), kStart);
  (void)MergeFrom(other, reader);
  DOCTEST_CHECK(reader.RemoveAllExcept({ "b" }, At(7)) ==
                std::vector<std::string>{ "a" });
  reader.MarkCompleteTo(At(7), kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a-" });

  ObjectFeed stale;
  (void)stale.Apply(Object("c", 1), At(1));
  FeedDelta snapshot = reader.ChangesSince({}, kStart);
  std::vector<std::string> removed;
  stale.Merge(snapshot, kStart, [&](const FeedObject& aObject) {
    if (aObject.m_deleted) {
      removed.push_back(aObject.m_name);
    }
  });
  DOCTEST_CHECK(removed == std::vector<std::string>{ "c" });
}

DOCTEST_TEST_CASE("an older snapshot removes nothing")
{
  ObjectFeed fresh;
  (void)fresh.Apply(Object("new", 9), At(9));
  fresh.MarkCompleteTo(At(9), kStart);
  ObjectFeed old;
  (void)old.Apply(Object("a", 3), At(3));
  old.MarkCompleteTo(At(4), kStart);
  fresh.Merge(old.ChangesSince({}, kStart), kStart, [](const FeedObject&) {});
  DOCTEST_CHECK_FALSE(fresh.Find("new")->m_deleted);
}

DOCTEST_TEST_CASE(
  "a feed's age propagates with its deltas and increases with time")
{
  ObjectFeed reader;
  ObjectFeed other;
  DOCTEST_CHECK_FALSE(other.Age(kStart).has_value());
  (void)reader.Apply(Object("a", 3), At(3));
  reader.MarkCompleteTo(At(3), kStart);
  (void)MergeFrom(other, reader, kStart + Milliseconds(400));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(500)) == Milliseconds(500));
  other.ConfirmFreshness({ .m_content = At(3), .m_age = Milliseconds(100) },
                         kStart + Milliseconds(600));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(600)) == Milliseconds(100));
  other.ConfirmFreshness({ .m_content = At(4), .m_age = Duration{} },
                         kStart + Milliseconds(700));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(700)) == Milliseconds(200));
  other.AddAge(Seconds(3));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(700)) > Seconds(3));
}

DOCTEST_TEST_CASE(
  "a complete empty feed differs from one that was never complete")
{
  ObjectFeed reader;
  reader.MarkCompleteTo(At(8), kStart);
  DOCTEST_CHECK(reader.Watermark(kStart).m_content == At(8));
  ObjectFeed other;
  (void)MergeFrom(other, reader);
  DOCTEST_CHECK(other.Age(kStart).has_value());
}

// Guards against a version of the configuration that is missed for good: a
// watch's answer that came late got a newer revision than what peers had told.
DOCTEST_TEST_CASE("a late statement of the store does not hide newer changes")
{
  ObjectFeed peer;
  (void)peer.Apply(Object("main", 12, "B"), At(12));
  peer.MarkCompleteTo(At(12), kStart);
  ObjectFeed feed;
  (void)feed.Apply(Object("main", 10, "old"), At(10));
  feed.MarkCompleteTo(At(10), kStart);
  (void)MergeFrom(feed, peer);

  DOCTEST_CHECK_FALSE(feed.Apply(Object("main", 11, "A"), At(11)));
  feed.MarkCompleteTo(At(11), kStart + Seconds(2));
  DOCTEST_CHECK(feed.Find("main")->m_payload == "B");
  DOCTEST_CHECK(feed.CompleteTo() == At(12));
  DOCTEST_CHECK(feed.Age(kStart + Seconds(2)) == Seconds(2));

  (void)peer.Apply(Object("main", 13, "C"), At(13));
  peer.MarkCompleteTo(At(13), kStart);
  (void)MergeFrom(feed, peer);
  DOCTEST_CHECK(feed.Find("main")->m_payload == "C");
}

DOCTEST_TEST_CASE("a late removal does not take back what peers told")
{
  ObjectFeed feed;
  (void)feed.Apply(Object("zone", 9), At(9));
  feed.MarkCompleteTo(At(9), kStart);
  // The peer saw the object removed at 11 and added again at 12.
  ObjectFeed peer;
  (void)peer.Apply(Object("zone", 12), At(12));
  peer.MarkCompleteTo(At(12), kStart);
  (void)MergeFrom(feed, peer);
  DOCTEST_CHECK_FALSE(feed.Apply(
    { .m_name = "zone", .m_position = At(9), .m_deleted = true }, At(11)));
  DOCTEST_CHECK_FALSE(feed.Find("zone")->m_deleted);
}

DOCTEST_TEST_CASE("a late delta of a peer does not bring an old state back")
{
  ObjectFeed late;
  (void)late.Apply(Object("a", 7, "old"), At(7));
  late.MarkCompleteTo(At(7), kStart);
  ObjectFeed feed;
  (void)feed.Apply(Object("a", 5, "new"), At(5));
  feed.MarkCompleteTo(At(5), kStart);
  FeedDelta delta = late.ChangesSince(At(5), kStart);
  // The object has its first content again.
  ObjectFeed peer;
  (void)peer.Apply(Object("a", 9, "new"), At(9));
  peer.MarkCompleteTo(At(9), kStart);
  (void)MergeFrom(feed, peer);
  feed.Merge(delta, kStart, [](const FeedObject&) {});
  DOCTEST_CHECK(feed.Find("a")->m_payload == "new");
}

DOCTEST_TEST_CASE(
  "a removal reaches peers that are complete to its watch's start")
{
  ObjectFeed reader;
  ObjectFeed other;
  (void)reader.Apply(Object("a", 3), At(3));
  reader.MarkCompleteTo(At(5), kStart);
  (void)MergeFrom(other, reader);
  other.MarkCompleteTo(At(8), kStart);
  (void)reader.Apply({ .m_name = "a", .m_position = At(3), .m_deleted = true },
                     At(9));
  reader.MarkCompleteTo(At(9), kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a-" });
}

DOCTEST_TEST_CASE("a change that a watch missed reaches complete peers")
{
  ObjectFeed reader;
  ObjectFeed other;
  (void)reader.Apply(Object("a", 3, "old"), At(3));
  reader.MarkCompleteTo(At(8), kStart);
  (void)MergeFrom(other, reader);
  // A list shows the change of revision 6.
  DOCTEST_SUBCASE("the store has moved on")
  {
    (void)reader.Apply(Object("a", 6, "new"), At(9));
  }
  DOCTEST_SUBCASE("the store has not changed since")
  {
    (void)reader.Apply(Object("a", 6, "new"), At(8));
  }
  reader.MarkCompleteTo(At(9), kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a+" });
}

// Guards against requests to upstreams that are gone: an instance that
// restarted took a snapshot, which has no removals, and told others that it had
// nothing new.
DOCTEST_TEST_CASE("a feed that began with a snapshot hides no removal")
{
  ObjectFeed reader;
  ObjectFeed peer;
  (void)reader.Apply(Object("a", 3), At(3));
  (void)reader.Apply(Object("b", 4), At(4));
  reader.MarkCompleteTo(At(7), kStart);
  (void)MergeFrom(peer, reader);
  (void)reader.Apply({ .m_name = "a", .m_deleted = true }, At(8));
  reader.MarkCompleteTo(At(8), kStart);
  ObjectFeed restarted;
  (void)MergeFrom(restarted, reader);
  DOCTEST_CHECK(MergeFrom(peer, restarted) == std::vector<std::string>{ "a-" });
  // The peer does not know what came and went since 7 either.
  ObjectFeed late;
  (void)late.Apply(Object("a", 3), At(3));
  (void)late.Apply(Object("b", 4), At(4));
  (void)late.Apply(Object("c", 7), At(7));
  late.MarkCompleteTo(At(7), kStart);
  DOCTEST_CHECK(MergeFrom(late, peer) ==
                std::vector<std::string>{ "a-", "c-" });
  DOCTEST_CHECK(late.Find("b")->m_payload == "x");
  // Later removals are told one by one.
  (void)restarted.Apply({ .m_name = "b", .m_deleted = true }, At(9));
  restarted.MarkCompleteTo(At(9), kStart);
  DOCTEST_CHECK_FALSE(restarted.ChangesSince(At(8), kStart).m_isSnapshot);
  DOCTEST_CHECK(MergeFrom(peer, restarted) == std::vector<std::string>{ "b-" });
}

DOCTEST_TEST_CASE("a feed that began with a list hides no removal")
{
  ObjectFeed peer;
  (void)peer.Apply(Object("a", 3), At(3));
  peer.MarkCompleteTo(At(7), kStart);
  ObjectFeed listed;
  (void)listed.Apply(Object("b", 8), At(8));
  listed.ForgetRemovalsUpTo(At(8));
  listed.MarkCompleteTo(At(8), kStart);
  DOCTEST_CHECK(MergeFrom(peer, listed) ==
                std::vector<std::string>{ "b+", "a-" });
}

// Guards against a read through null: the tombstone of a removal was pruned
// before the caller had read it if a list lacked more than 2000 objects.
DOCTEST_TEST_CASE("an object is known when its removal is reported")
{
  ObjectFeed feed;
  for (int i = 0; i < 2500; ++i) {
    (void)feed.Apply(Object(std::to_string(i).c_str(), 3), At(3));
  }
  feed.MarkCompleteTo(At(3), kStart);
  std::vector<std::string> removed = feed.RemoveAllExcept({}, At(7));
  DOCTEST_CHECK(removed.size() == 2500);
  DOCTEST_CHECK(std::ranges::all_of(removed, [&](const std::string& aName) {
    return feed.Find(aName) != nullptr;
  }));
  feed.MarkCompleteTo(At(7), kStart);
  DOCTEST_CHECK(feed.Find("0") == nullptr);
  DOCTEST_CHECK(feed.ChangesSince(At(6), kStart).m_isSnapshot);
}

// Guards against changes of an object that are ignored for good because one
// answer stated too great a revision for it.
DOCTEST_TEST_CASE("a change beyond the answer's own position hides none")
{
  ObjectFeed feed;
  feed.Apply({ .m_name = "a", .m_position = At(900), .m_payload = "1" },
             At(10));
  feed.MarkCompleteTo(At(10), kStart);
  feed.Apply({ .m_name = "a", .m_position = At(11), .m_payload = "2" }, At(11));
  DOCTEST_CHECK(feed.Find("a")->m_payload == "2");
}

} // namespace
} // namespace ebonykeel
