// What the parts of a daemon on the platform may hold of its VM's memory and descriptors.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_RESOURCES_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_RESOURCES_H_

#include <cstddef>

#include "marigoldquay/net/http_listener.h"
#include "marigoldquay/platform/node_settings.h"

namespace marigoldquay {

/// Connections of callers that are accepted at once.
std::size_t MaxConnections(const platform::NodeSettings& settings);

/// Connections and requests of callers that are accepted at once.
ListenerCapacity CallerCapacity(const platform::NodeSettings& settings);

/// Bytes that the connections of callers and backend servers may hold together, beside what each is
/// always granted.
std::size_t ConnectionMemory(const platform::NodeSettings& settings);

/// Bytes that the sessions of VMs may hold together, beside what each is always granted. They are
/// apart from those of connections, so that large requests cannot end sessions.
std::size_t SessionMemory(const platform::NodeSettings& settings);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_RESOURCES_H_
