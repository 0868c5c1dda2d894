#include "runtime/log/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

struct Pipe
{
  Pipe() { DOCTEST_REQUIRE(pipe(m_descriptors.data()) == 0); }
  ~Pipe()
  {
    close(m_descriptors[0]);
    close(m_descriptors[1]);
  }
  std::string Read()
  {
    (void)fcntl(m_descriptors[0], F_SETFL, O_NONBLOCK);
    std::string text(1 << 20, '\0');
    ssize_t count = read(m_descriptors[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return text;
  }
  std::array<int, 2> m_descriptors{};
};

// A clock that the test advances.
struct ManualClock
{
  [[nodiscard]] std::function<TimePoint()> Reader() const
  {
    return [this]() { return m_now; };
  }
  TimePoint m_now{ Seconds(70) };
};

DOCTEST_TEST_CASE("lines are written only by Flush")
{
  Pipe pipe;
  ManualClock clock;
  LineLog log(clock.Reader(), { .m_descriptor = pipe.m_descriptors[1] });
  clock.m_now += Milliseconds(1500);
  log.Write(Event::kStoreFailed, { { "call", "x y" } });
  DOCTEST_CHECK(pipe.Read().empty());
  log.Flush();
  DOCTEST_CHECK(pipe.Read() == "ms=1500 EK1401 store_failed call=\"x y\"\n");
}

// Guards against lines that share the stamp of a tick: the record of an
// incident showed five lines at one time and not what lay between them.
DOCTEST_TEST_CASE("lines between two calls of Flush have their own stamps")
{
  Pipe pipe;
  ManualClock clock;
  LineLog log(clock.Reader(), { .m_descriptor = pipe.m_descriptors[1] });
  log.Flush();
  clock.m_now += Milliseconds(4);
  log.Write(Event::kStoreFailed, {});
  clock.m_now += Milliseconds(3);
  log.Write(Event::kStoreRecovered, {});
  clock.m_now += Milliseconds(93);
  log.Flush();
  DOCTEST_CHECK(pipe.Read() ==
                "ms=4 EK1401 store_failed\nms=7 EK1402 store_recovered\n");
}

DOCTEST_TEST_CASE("lines beyond an event's limit are dropped and counted")
{
  Pipe pipe;
  ManualClock clock;
  LineLog log(
    clock.Reader(),
    { .m_descriptor = pipe.m_descriptors[1], .m_maxLinesPerEvent = 2 });
  for (int i = 0; i < 5; ++i) {
    log.Write(Event::kStoreRecovered, {});
    log.Write(Event::kStoreFailed, {});
  }
  log.Flush();
  DOCTEST_CHECK(log.Dropped() == 3);
  std::string text = pipe.Read();
  DOCTEST_CHECK(text.find("lines_dropped count=3") != std::string::npos);
  log.Write(Event::kStoreRecovered, {});
  log.Flush();
  DOCTEST_CHECK(pipe.Read().find("store_recovered") != std::string::npos);
}

DOCTEST_TEST_CASE("a full pipe does not block, and the buffer is bounded")
{
  Pipe pipe;
  ManualClock clock;
  LineLog log(clock.Reader(),
              { .m_descriptor = pipe.m_descriptors[1],
                .m_maxPendingBytes = 4096,
                .m_maxLinesPerEvent = 1000000 });
  for (int i = 0; i < 10000; ++i) {
    log.Write(Event::kStoreFailed, { { "call", std::string(100, 'x') } });
    log.Flush();
  }
  DOCTEST_CHECK(log.Pending().size() < 8192);
  DOCTEST_CHECK(log.Dropped() > 0);
}

} // namespace
} // namespace ebonykeel
