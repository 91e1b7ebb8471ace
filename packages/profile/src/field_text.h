#pragma once

#include <string>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/profile/call_pattern.h"
#include "cornelrelay/profile/priority.h"
#include "cornelrelay/profile/profile_fields.h"

namespace cornelrelay::profile::internal {

/// \brief The field's name, `section.key`.
std::string NameOf(const Field& field);

/// \brief The shortest text that reads back as the same number.
std::string NumberText(double value);

// Each gives a value as a TOML document has it.
std::string FieldText(core::Duration value);
std::string FieldText(Priority value);
std::string FieldText(bool value);
std::string FieldText(std::uint32_t value);
std::string FieldText(double value);
std::string FieldText(const std::vector<CallPattern>& value);

}  // namespace cornelrelay::profile::internal
