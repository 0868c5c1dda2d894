#include "runtime/http/header_limiter.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace ebonykeel {
namespace {

constexpr Duration kCheckInterval = Milliseconds(5);

} // namespace

HeaderLimiter::HeaderLimiter(RuntimeClock& aClock, size_t aMaxBytes)
  : m_clock(aClock)
  , m_maxBytes(aMaxBytes)
  , m_watch(nullptr)
{
}

void
HeaderLimiter::Add(HeaderReceiver& aReceiver)
{
  m_receivers.insert(&aReceiver);
  if (!m_watching) {
    m_watching = true;
    m_watch = Watch().eagerlyEvaluate(nullptr);
  }
}

void
HeaderLimiter::Remove(HeaderReceiver& aReceiver)
{
  m_receivers.erase(&aReceiver);
}

kj::Promise<void>
HeaderLimiter::Watch()
{
  return m_clock.After(kCheckInterval).then([this]() -> kj::Promise<void> {
    CheckAll();
    m_watching = !m_receivers.empty();
    return m_watching ? Watch() : kj::READY_NOW;
  });
}

void
HeaderLimiter::CheckAll()
{
  std::vector<HeaderReceiver*> tooLong;
  std::ranges::copy_if(m_receivers,
                       std::back_inserter(tooLong),
                       [&](const HeaderReceiver* aReceiver) {
                         return aReceiver->HeldBytes() > m_maxBytes;
                       });
  std::ranges::for_each(tooLong, &HeaderReceiver::OnHeadersTooLong);
}

} // namespace ebonykeel
