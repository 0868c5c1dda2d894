// Packed Cap'n Proto messages as bytes.
#pragma once

#include <string>
#include <string_view>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace ebonykeel {

[[nodiscard]] inline std::string
PackMessage(capnp::MallocMessageBuilder& aMessage)
{
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, aMessage);
  auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

// Calls `aRead` with the message in `aBytes`; returns false if they are not a
// valid message.
template<typename Read>
bool
UnpackMessage(std::string_view aBytes, Read aRead)
{
  constexpr uint64_t kMaxWords = uint64_t{ 8 } << 20;
  auto problem = kj::runCatchingExceptions([&]() {
    kj::ArrayInputStream stream(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxWords;
    capnp::PackedMessageReader reader(stream, options);
    aRead(reader);
  });
  return problem == nullptr;
}

} // namespace ebonykeel
