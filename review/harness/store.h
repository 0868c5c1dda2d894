// A stand-in for the platform's store: linearizable objects with one revision
// counter, lists and watches.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

class Store
{
public:
  Address Start(const std::string& aHost)
  {
    return m_server.Start(
      aHost, [this](Connection& aConnection) { Serve(aConnection); });
  }

  // Creates or replaces an object. `aSpec` is JSON text and is kept as it is.
  // The change is acknowledged on return.
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
  {
    std::lock_guard lock(m_mutex);
    Change(aKind, aName, aSpec, false);
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    if (m_objects[aKind].contains(aName)) {
      Change(aKind, aName, {}, true);
    }
  }

private:
  struct Event
  {
    std::string m_kind;
    uint64_t m_revision = 0;
    std::string m_text;
  };

  void Change(const std::string& aKind,
              const std::string& aName,
              const std::string& aSpec,
              bool aDeleted)
  {
    ++m_revision;
    std::string spec = aDeleted ? m_specs[aKind][aName] : aSpec;
    std::string object = "{\"meta\":{\"name\":" + nlohmann::json(aName).dump() +
                         ",\"revision\":" + std::to_string(m_revision) +
                         ",\"deleting\":false},\"spec\":" + spec + "}";
    m_events.push_back(
      { aKind,
        m_revision,
        "{\"deleted\":" + std::string(aDeleted ? "true" : "false") +
          ",\"object\":" + object + "}" });
    if (aDeleted) {
      m_objects[aKind].erase(aName);
    } else {
      m_objects[aKind][aName] = object;
      m_specs[aKind][aName] = spec;
    }
    m_changed.notify_all();
  }

  void Serve(Connection& aConnection)
  {
    Request request;
    while (aConnection.Read(request, Clock::now() + std::chrono::hours(1))) {
      Response response = Answer(request);
      response.m_headers.emplace_back("Content-Type", "application/json");
      if (!aConnection.Write(Serialize(response))) {
        return;
      }
    }
  }

  static uint64_t QueryNumber(const std::string& aQuery,
                              const std::string& aKey)
  {
    size_t at = ("&" + aQuery).find("&" + aKey + "=");
    return at == std::string::npos
             ? 0
             : std::strtoull(
                 aQuery.c_str() + at + aKey.size() + 1, nullptr, 10);
  }

  Response Answer(const Request& aRequest)
  {
    constexpr std::string_view kPrefix = "/objects/";
    size_t question = aRequest.m_target.find('?');
    std::string path = aRequest.m_target.substr(0, question);
    std::string query = question == std::string::npos
                          ? ""
                          : aRequest.m_target.substr(question + 1);
    if (!path.starts_with(kPrefix)) {
      return { .m_status = 404, .m_headers = {}, .m_body = "{}" };
    }
    std::string kind = path.substr(kPrefix.size());
    std::string name;
    if (size_t slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    if (aRequest.m_method == "GET" &&
        query.find("watch=") != std::string::npos) {
      return Watch(kind,
                   QueryNumber(query, "watch"),
                   Milliseconds(QueryNumber(query, "waitMs")));
    }
    std::lock_guard lock(m_mutex);
    if (aRequest.m_method == "POST") {
      auto body = nlohmann::json::parse(aRequest.m_body, nullptr, false);
      std::string created = body["meta"]["name"];
      if (m_objects[kind].contains(created)) {
        return { .m_status = 409,
                 .m_headers = {},
                 .m_body = m_objects[kind][created] };
      }
      Change(kind, created, body["spec"].dump(), false);
      return { .m_status = 200,
               .m_headers = {},
               .m_body = m_objects[kind][created] };
    }
    if (aRequest.m_method == "DELETE") {
      if (m_objects[kind].contains(name)) {
        Change(kind, name, {}, true);
      }
      return { .m_status = 200, .m_headers = {}, .m_body = "{}" };
    }
    if (!name.empty()) {
      auto found = m_objects[kind].find(name);
      bool exists = found != m_objects[kind].end();
      return { .m_status = exists ? 200 : 404,
               .m_headers = {},
               .m_body = exists ? found->second : "{}" };
    }
    std::string items;
    for (const auto& [key, object] : m_objects[kind]) {
      items += (items.empty() ? "" : ",") + object;
    }
    return { .m_status = 200,
             .m_headers = {},
             .m_body = "{\"items\":[" + items +
                       "],\"hasMore\":false,\"asOf\":" +
                       std::to_string(m_revision) + "}" };
  }

  Response Watch(const std::string& aKind, uint64_t aSince, Milliseconds aWait)
  {
    std::unique_lock lock(m_mutex);
    auto eventsOf = [&]() {
      std::string events;
      for (const Event& event : m_events) {
        if (event.m_kind == aKind && event.m_revision > aSince) {
          events += (events.empty() ? "" : ",") + event.m_text;
        }
      }
      return events;
    };
    std::string events;
    m_changed.wait_until(lock, Clock::now() + aWait, [&]() {
      events = eventsOf();
      return !events.empty();
    });
    return { .m_status = 200,
             .m_headers = {},
             .m_body = "{\"events\":[" + events +
                       "],\"asOf\":" + std::to_string(m_revision) + "}" };
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Server m_server;
  uint64_t m_revision = 1;
  std::map<std::string, std::map<std::string, std::string>> m_objects;
  std::map<std::string, std::map<std::string, std::string>> m_specs;
  std::vector<Event> m_events;
};

} // namespace review
