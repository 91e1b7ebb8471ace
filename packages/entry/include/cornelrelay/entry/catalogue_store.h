#pragma once

#include <functional>

#include "cornelrelay/platform/store_reply.h"
#include "cornelrelay/profile/catalogue_editor.h"
#include "cornelrelay/profile/replica_messages.h"
#include "cornelrelay/profile/store_messages.h"

namespace cornelrelay::entry {

/// \brief The events of the profile machines that a store reply stands for.
profile::ReplicaEvent ToReplicaEvent(profile::CallNumber call, const platform::StoreReply& reply);
profile::EditorEvent ToEditorEvent(profile::CallNumber call, const platform::StoreReply& reply);

}  // namespace cornelrelay::entry
