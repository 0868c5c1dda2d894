#include "core/feed/object_feed.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

FeedObject
Object(const char* aName, uint64_t aRevision, const char* aPayload = "x")
{
  return { .m_name = aName, .m_revision = aRevision, .m_payload = aPayload };
}

std::vector<std::string>
MergeFrom(ObjectFeed& aTo, const ObjectFeed& aFrom, TimePoint aNow = kStart)
{
  std::vector<std::string> changed;
  aTo.Merge(aFrom.ChangesSince(aTo.CompleteRevision(), aNow),
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
  DOCTEST_CHECK(reader.Apply(Object("a", 3)));
  reader.MarkCompleteTo(5, kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a+" });
  DOCTEST_CHECK(other.CompleteRevision() == 5);
  DOCTEST_CHECK(MergeFrom(other, reader).empty());
}

DOCTEST_TEST_CASE("a new revision with the same content is not a change")
{
  ObjectFeed feed;
  DOCTEST_CHECK(feed.Apply(Object("a", 3)));
  DOCTEST_CHECK_FALSE(feed.Apply(Object("a", 9)));
  DOCTEST_CHECK(feed.ContentRevision() == 3);
}

DOCTEST_TEST_CASE("an older revision never replaces a newer one")
{
  ObjectFeed feed;
  DOCTEST_CHECK(feed.Apply(Object("a", 9, "new")));
  DOCTEST_CHECK_FALSE(feed.Apply(Object("a", 3, "old")));
  DOCTEST_CHECK(feed.Find("a")->m_payload == "new");
}

DOCTEST_TEST_CASE("removals propagate through deltas and snapshots")
{
  ObjectFeed reader;
  ObjectFeed other;
  (void)reader.Apply(Object("a", 3));
  (void)reader.Apply(Object("b", 4));
  reader.MarkCompleteTo(4, kStart);
  (void)MergeFrom(other, reader);
  DOCTEST_CHECK(reader.RemoveAllExcept({ "b" }, 7) ==
                std::vector<std::string>{ "a" });
  reader.MarkCompleteTo(7, kStart);
  DOCTEST_CHECK(MergeFrom(other, reader) == std::vector<std::string>{ "a-" });

  ObjectFeed stale;
  (void)stale.Apply(Object("c", 1));
  FeedDelta snapshot = reader.ChangesSince(0, kStart);
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
  (void)fresh.Apply(Object("new", 9));
  fresh.MarkCompleteTo(9, kStart);
  ObjectFeed old;
  (void)old.Apply(Object("a", 3));
  old.MarkCompleteTo(4, kStart);
  fresh.Merge(old.ChangesSince(0, kStart), kStart, [](const FeedObject&) {});
  DOCTEST_CHECK_FALSE(fresh.Find("new")->m_deleted);
}

DOCTEST_TEST_CASE(
  "a feed's age propagates with its deltas and increases with time")
{
  ObjectFeed reader;
  ObjectFeed other;
  DOCTEST_CHECK_FALSE(other.Age(kStart).has_value());
  (void)reader.Apply(Object("a", 3));
  reader.MarkCompleteTo(3, kStart);
  (void)MergeFrom(other, reader, kStart + Milliseconds(400));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(500)) == Milliseconds(500));
  other.ConfirmFreshness({ .m_contentRevision = 3, .m_age = Milliseconds(100) },
                         kStart + Milliseconds(600));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(600)) == Milliseconds(100));
  other.ConfirmFreshness({ .m_contentRevision = 4, .m_age = Duration{} },
                         kStart + Milliseconds(700));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(700)) == Milliseconds(200));
  other.AddAge(Seconds(3));
  DOCTEST_CHECK(other.Age(kStart + Milliseconds(700)) > Seconds(3));
}

DOCTEST_TEST_CASE(
  "a complete empty feed differs from one that was never complete")
{
  ObjectFeed reader;
  reader.MarkCompleteTo(8, kStart);
  DOCTEST_CHECK(reader.Watermark(kStart).m_contentRevision == 8);
  ObjectFeed other;
  (void)MergeFrom(other, reader);
  DOCTEST_CHECK(other.Age(kStart).has_value());
}

} // namespace
} // namespace ebonykeel
