// Packs and unpacks Cap'n Proto messages of other instances.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace ebonykeel {

inline std::string
PackMessage(capnp::MallocMessageBuilder& aMessage)
{
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, aMessage);
  auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

// Calls `aRead` with the message in `aBytes`; returns false if they are not a
// valid message. At most `aMaxWords` words are read.
template<typename Read>
bool
UnpackMessage(std::string_view aBytes, uint64_t aMaxWords, Read aRead)
{
  auto problem = kj::runCatchingExceptions([&]() {
    kj::ArrayInputStream stream(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = aMaxWords;
    capnp::PackedMessageReader reader(stream, options);
    aRead(reader);
  });
  return problem == nullptr;
}

} // namespace ebonykeel
