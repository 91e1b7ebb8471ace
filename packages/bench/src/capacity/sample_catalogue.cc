#include "capacity/sample_catalogue.h"

#include <string>
#include <utility>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/profile_document.h"

namespace cornelrelay::bench {
namespace {

std::string NameOf(std::size_t index) { return "service-" + std::to_string(index); }

profile::Profile ProfileNamed(const std::string& name, std::size_t variant) {
  const std::string text = "name = \"" + name +
                           "\"\n[request]\ndeadline_ms = " + std::to_string(10000 + variant) +
                           "\nidempotent_calls = [\"GET /\", \"PUT /orders\"]\n[retry]\n"
                           "attempts = 3\n[account]\nconcurrency = 400\nrate_per_s = 1000\n"
                           "queue = 400\n";
  return profile::ProfileDocument(text, "sample").profile();
}

// The id has the form of the operator command's ids: 32 hexadecimal digits.
profile::ChangeId IdOf(std::size_t number) {
  std::string id;
  static constexpr char kDigits[] = "0123456789abcdef";
  for (std::size_t i = 0; i < 32; ++i) {
    id += kDigits[core::Hash64(std::to_string(number), i) % 16];
  }
  return profile::ChangeId(id);
}

profile::Catalogue Apply(const profile::Catalogue& catalogue, profile::Edit edit) {
  profile::ChangeRequest request{IdOf(catalogue.revision() + 1),
                                 profile::OperatorName("operator-17"), 1796300000000, std::nullopt,
                                 std::move(edit)};
  return profile::ApplyChange(catalogue, request);
}

}  // namespace

profile::Catalogue Changed(const profile::Catalogue& catalogue) {
  const std::size_t index = catalogue.revision() % (catalogue.content().profiles.size() - 1);
  return Apply(catalogue, profile::ChangeProfile{
                              ProfileNamed(NameOf(index), catalogue.revision() % 1000 + 1)});
}

profile::Catalogue SampleCatalogue(std::size_t profiles, std::size_t changes) {
  profile::Catalogue catalogue = profile::Catalogue::Initial();
  for (std::size_t i = 0; i < profiles; ++i) {
    catalogue = Apply(catalogue, profile::CreateProfile{ProfileNamed(NameOf(i), 0)});
    catalogue = Apply(catalogue, profile::AssignService{core::ServiceId(NameOf(i)),
                                                        core::ProfileName(NameOf(i))});
  }
  for (std::size_t i = 0; i < changes; ++i) catalogue = Changed(catalogue);
  return catalogue;
}

}  // namespace cornelrelay::bench
