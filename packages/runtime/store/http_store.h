// The platform's object store over HTTP.
#pragma once

#include <string>
#include <string_view>

#include "runtime/http/client.h"
#include "runtime/store/object_store.h"

namespace ebonykeel {

struct HttpStoreOptions
{
  Endpoint m_store;
  Endpoint m_instanceList;
  // The timeout of a call; for a watch, in addition to its wait.
  Duration m_timeout = Seconds(1);
};

// Sends each call once, without retries. The client must outlive it.
class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(HttpClient& aClient, HttpStoreOptions aOptions);

  kj::Promise<StoreRead> Read(std::string_view aKey) override;
  kj::Promise<StoreRead> Watch(std::string_view aKey,
                               uint64_t aVersion,
                               Duration aWait) override;
  kj::Promise<StoreWrite> Write(std::string_view aKey,
                                uint64_t aIfVersion,
                                std::string_view aValue) override;
  kj::Promise<InstanceList> ListInstances() override;

  [[nodiscard]] const StoreCounters& Counters() const { return m_counters; }

private:
  // Closes the idle connections after a call that timed out, since a connection
  // can stay unresponsive while new ones work.
  void CloseIdleAfterTimeout(const HttpReply& aReply);

  HttpClient& m_client;
  HttpStoreOptions m_options;
  StoreCounters m_counters;
};

} // namespace ebonykeel
