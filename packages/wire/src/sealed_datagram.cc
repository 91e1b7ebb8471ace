#include "cornelrelay/wire/sealed_datagram.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>

#include "cornelrelay/wire/forged_datagram.h"
#include "fields.h"

namespace cornelrelay::wire {
namespace {

constexpr std::uint8_t kFormat = 1;

std::array<unsigned char, EVP_MAX_MD_SIZE> MacOf(std::string_view bytes, const MacKey& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.bytes().data(), static_cast<int>(key.bytes().size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &size);
  assert(size >= kMacBytes);
  return mac;
}

template <class Ar>
void Header(Ar& ar, internal::Ref<Ar, SealedDatagram> datagram) {
  std::uint8_t format = kFormat;
  ar.archive(format);
  if (format != kFormat) throw MalformedMessage();
  std::string sender = datagram.sender.value();
  internal::Text(ar, sender, kMaxSenderId);
  ar.archive(datagram.incarnation, datagram.counter);
  if constexpr (Ar::kReads) datagram.sender = core::HostId(std::move(sender));
}

}  // namespace

std::string Seal(const SealedDatagram& datagram, const MacKey& key) {
  std::string bytes;
  {
    internal::Writer writer(bytes);
    Header(writer, datagram);
  }
  bytes += datagram.payload;
  const auto mac = MacOf(bytes, key);
  bytes.append(mac.begin(), mac.begin() + kMacBytes);
  return bytes;
}

SealedDatagram Open(std::string_view bytes, const MacKey& key, std::size_t limit) {
  if (bytes.size() > limit) throw MessageTooLarge();
  if (bytes.size() < kMacBytes) throw MalformedMessage();
  const std::string_view body = bytes.substr(0, bytes.size() - kMacBytes);
  const auto mac = MacOf(body, key);
  if (CRYPTO_memcmp(mac.data(), bytes.data() + body.size(), kMacBytes) != 0) {
    throw ForgedDatagram();
  }
  try {
    SealedDatagram datagram;
    internal::Reader reader(body);
    Header(reader, datagram);
    datagram.payload = body.substr(body.size() - reader.source.Remaining());
    return datagram;
  } catch (const cereal::Exception&) {
    throw MalformedMessage();
  }
}

}  // namespace cornelrelay::wire
