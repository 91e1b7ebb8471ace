#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "byte_streams.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/strong_id.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/message_too_large.h"

namespace cornelrelay::wire::internal {

/// \brief A cereal archive and, when it reads, the bytes left.
///
/// Each field function below serves both directions, so that reading and writing cannot differ.
struct Writer {
  static constexpr bool kReads = false;
  StringSink sink;
  std::ostream stream;
  cereal::PortableBinaryOutputArchive archive;

  explicit Writer(std::string& target) : sink(target), stream(&sink), archive(stream) {}
};

struct Reader {
  static constexpr bool kReads = true;
  ViewSource source;
  std::istream stream;
  cereal::PortableBinaryInputArchive archive;

  explicit Reader(std::string_view bytes) : source(bytes), stream(&source), archive(stream) {}
};

template <class Ar, class T>
using Ref = std::conditional_t<Ar::kReads, T&, const T&>;

/// \brief A number that takes sizeof(Wire) bytes; larger values are cut to the largest.
template <class Wire, class Ar, class T>
void Number(Ar& ar, T& value) {
  Wire wire{};
  if constexpr (!Ar::kReads) {
    using Wide = std::common_type_t<Wire, std::remove_const_t<T>>;
    wire = static_cast<Wire>(std::min<Wide>(value, std::numeric_limits<Wire>::max()));
  }
  ar.archive(wire);
  if constexpr (Ar::kReads) value = wire;
}

/// Bytes of the shortest number that Varint writes.
constexpr std::size_t kLeastVarintBytes = 1;

/// \brief An unsigned number in groups of seven bits, the lowest first; the top bit of a byte says
/// that more follow. Small numbers take one byte.
template <class Ar, class T>
void Varint(Ar& ar, T& value) {
  constexpr std::uint8_t kMore = 0x80;
  constexpr int kBits = 7;
  if constexpr (Ar::kReads) {
    T read = 0;
    for (int shift = 0; shift < std::numeric_limits<T>::digits; shift += kBits) {
      // Past the archive, which takes some ten times as long for a byte.
      const int next = ar.source.sbumpc();
      if (next == ViewSource::traits_type::eof()) throw MalformedMessage();
      const auto byte = static_cast<std::uint8_t>(next);
      const auto part = static_cast<std::uint64_t>(byte & (kMore - 1)) << shift;
      if (part > std::numeric_limits<T>::max()) throw MalformedMessage();
      read = static_cast<T>(read | part);
      if ((byte & kMore) != 0) continue;
      value = read;
      return;
    }
    throw MalformedMessage();
  } else {
    std::uint64_t left = value;
    for (; left >= kMore; left >>= kBits) {
      ar.sink.sputc(static_cast<char>(static_cast<std::uint8_t>(left | kMore)));
    }
    ar.sink.sputc(static_cast<char>(left));
  }
}

/// \brief An enumeration with the values 0 to `last`.
template <class Ar, class E>
void Choice(Ar& ar, E& value, std::remove_const_t<E> last) {
  auto wire = static_cast<std::uint8_t>(value);
  ar.archive(wire);
  if (wire > static_cast<std::uint8_t>(last)) throw MalformedMessage();
  if constexpr (Ar::kReads) value = static_cast<E>(wire);
}

template <class Ar>
void Flag(Ar& ar, Ref<Ar, bool> value) {
  std::uint8_t wire = value ? 1 : 0;
  ar.archive(wire);
  if (wire > 1) throw MalformedMessage();
  if constexpr (Ar::kReads) value = wire == 1;
}

/// \brief Bytes with a length of sizeof(Length) bytes; the bound is checked before allocation.
template <class Length, class Ar>
void Bytes(Ar& ar, Ref<Ar, std::string> value, std::size_t bound) {
  Length length{};
  if constexpr (!Ar::kReads) {
    if (value.size() > bound) throw MessageTooLarge();
    length = static_cast<Length>(value.size());
  }
  ar.archive(length);
  if constexpr (Ar::kReads) {
    if (length > bound) throw MessageTooLarge();
    if (length > ar.source.Remaining()) throw MalformedMessage();
    value.resize(length);
  }
  ar.archive(cereal::binary_data(value.data(), static_cast<std::size_t>(length)));
}

constexpr std::size_t kMaxText = 96;

template <class Ar>
void Text(Ar& ar, Ref<Ar, std::string> value, std::size_t bound = kMaxText) {
  Bytes<std::uint8_t>(ar, value, bound);
}

template <class Ar, class Id>
void Identifier(Ar& ar, Id& id, std::size_t bound = kMaxText) {
  if constexpr (Ar::kReads) {
    std::string value;
    Text(ar, value, bound);
    id = Id(std::move(value));
  } else {
    Text(ar, id.value(), bound);
  }
}

template <class Ar>
void Address(Ar& ar, Ref<Ar, core::Endpoint> endpoint) {
  Text(ar, endpoint.address);
  ar.archive(endpoint.port);
}

/// \brief Rounds up, so that a copy never lives longer than its original.
template <class Wire, class Ar>
void DurationUp(Ar& ar, Ref<Ar, core::Duration> value, core::Duration unit) {
  std::uint64_t units = 0;
  if constexpr (!Ar::kReads) {
    units =
        value.count() <= 0 ? 0 : static_cast<std::uint64_t>((value - core::Duration(1)) / unit) + 1;
  }
  Number<Wire>(ar, units);
  if constexpr (Ar::kReads) value = unit * static_cast<core::Duration::rep>(units);
}

/// \brief Rounds to the nearest: ages that are passed on often must not creep.
template <class Wire, class Ar>
void DurationNear(Ar& ar, Ref<Ar, core::Duration> value, core::Duration unit) {
  std::uint64_t units = 0;
  if constexpr (!Ar::kReads) {
    units = value.count() <= 0 ? 0 : static_cast<std::uint64_t>((value + unit / 2) / unit);
  }
  Number<Wire>(ar, units);
  if constexpr (Ar::kReads) value = unit * static_cast<core::Duration::rep>(units);
}

/// \brief Stands for a count of List that Varint writes.
struct VarintCount {};

/// \brief A count of sizeof(Count) bytes and the elements; a count that the remaining bytes cannot
/// hold is refused before allocation.
template <class Count, class Ar, class T, class Element>
void List(Ar& ar, T& values, std::size_t bound, std::size_t element_bytes, Element element) {
  constexpr bool kVarint = std::is_same_v<Count, VarintCount>;
  std::conditional_t<kVarint, std::uint32_t, Count> count = 0;
  if constexpr (!Ar::kReads) {
    if (values.size() > bound) throw MessageTooLarge();
    count = static_cast<decltype(count)>(values.size());
  }
  if constexpr (kVarint) {
    Varint(ar, count);
  } else {
    ar.archive(count);
  }
  if constexpr (Ar::kReads) {
    if (count > bound) throw MessageTooLarge();
    if (count * element_bytes > ar.source.Remaining()) throw MalformedMessage();
    values.resize(count);
  }
  for (auto& value : values) element(value);
}

/// \brief Whether there is a value, then `code(value)`.
template <class Ar, class T, class CodeOne>
void Optional(Ar& ar, T& value, CodeOne code) {
  bool present = value.has_value();
  Flag(ar, present);
  if (!present) return;
  if constexpr (Ar::kReads) value.emplace();
  code(*value);
}

/// \brief The index of a variant, then `code(alternative)`.
template <class Ar, class Variant, class CodeOne>
void Alternative(Ar& ar, Variant& value, CodeOne code) {
  using Plain = std::remove_const_t<Variant>;
  auto index = static_cast<std::uint8_t>(value.index());
  ar.archive(index);
  if constexpr (Ar::kReads) {
    if (index >= std::variant_size_v<Plain>) throw MalformedMessage();
    [&]<std::size_t... I>(std::index_sequence<I...>) {
      ((I == index ? static_cast<void>(value.template emplace<I>()) : void()), ...);
    }
    (std::make_index_sequence<std::variant_size_v<Plain>>());
  }
  std::visit(code, value);
}

}  // namespace cornelrelay::wire::internal
