#pragma once

namespace cornelrelay::core {

/// \brief Builds one visitor from several lambdas.
///
/// \code
/// std::visit(Overloaded{[](const Granted& g) { ... }, [](const Refused& r) { ... }}, reply);
/// \endcode
template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace cornelrelay::core
