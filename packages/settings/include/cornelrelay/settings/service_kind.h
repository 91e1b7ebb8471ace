#pragma once

namespace cornelrelay::settings {

enum class ServiceKind {
  kModel,  ///< `/v1/chat/completions`, chosen by model name
  kPlain,  ///< `/services/<service>/<path>`
};

}  // namespace cornelrelay::settings
