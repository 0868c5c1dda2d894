// Maintains the store's list of instances, by which a starting instance whose
// seeds are gone finds others.
//
// An instance adds itself when it first reads the store, or may read and has no
// contact, and again after each restore of the store: the copy may lack its
// entry. A reader also removes instances that have been dead for long.
//
//   InstanceList list(loop, client, protocol, options, onListed);
//   list.OnEraEntered();
//   list.OnTick(InstanceList::Duty::kReader, deadHosts);
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/address.h"
#include "node/entry/protocol.h"
#include "runtime/http1/client.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

struct InstanceListOptions
{
  // This instance.
  std::string m_host;
  DataCentre m_dataCentre;
  Address m_store;
  Duration m_callTimeout = Milliseconds(1500);
  // The delay before the next attempt after a call failed.
  Duration m_retryDelay = Seconds(2);
};

// Everything that is passed by reference must outlive the list.
class InstanceList
{
public:
  // What this instance does with the list at present.
  enum class Duty
  {
    kNone,
    // It may read the store and has no contact to others.
    kIsolated,
    // It reads the store for others.
    kReader,
  };

  // `aOnListed` is called with the hosts of each list that was read.
  InstanceList(UvLoop& aLoop,
               Http1Client& aClient,
               const StoreProtocol& aProtocol,
               InstanceListOptions aOptions,
               std::function<void(const std::vector<std::string>&)> aOnListed);

  // Must be called regularly, with the hosts of instances that have been dead
  // for long.
  void OnTick(Duty aDuty, std::span<const std::string> aDeadHosts);
  // Called when the store came back from a copy.
  void OnEraEntered();

  // Returns the number of calls since the start.
  [[nodiscard]] uint64_t CallCount() const { return m_callCount; }

private:
  void List();
  void OnListed(const Http1Result& aResult);
  void AddSelf();
  void Remove(const std::string& aHost);
  void Call(const Http1Request& aRequest, Http1Client::Callback aCallback);

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  InstanceListOptions m_options;
  std::function<void(const std::vector<std::string>&)> m_onListed;
  // When the list is read; nothing while a call is in flight or this instance
  // is in the list.
  std::optional<TimePoint> m_listAt = TimePoint();
  // Identifies the attempt whose answers count.
  uint64_t m_attempt = 0;
  // Whether the list must be that of the present moment.
  bool m_needsCurrent = false;
  std::vector<std::string> m_hosts;
  uint64_t m_callCount = 0;
};

} // namespace ebonykeel
