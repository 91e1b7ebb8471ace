#pragma once

#include <functional>

#include "cornelrelay/profile/catalogue_editor.h"
#include "cornelrelay/profile/replica_messages.h"
#include "cornelrelay/profile/store_messages.h"
#include "cornelrelay/store/store_reply.h"

namespace cornelrelay::entry {

/// \brief The events of the profile machines that a store reply stands for.
profile::ReplicaEvent ToReplicaEvent(profile::CallNumber call, const store::StoreReply& reply);
profile::EditorEvent ToEditorEvent(profile::CallNumber call, const store::StoreReply& reply);

}  // namespace cornelrelay::entry
