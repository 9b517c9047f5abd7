// Read access to the configuration in force.
#ifndef MARIGOLDQUAY_CONFIG_CONFIG_VIEW_H_
#define MARIGOLDQUAY_CONFIG_CONFIG_VIEW_H_

#include "marigoldquay/config/configuration.h"
#include "marigoldquay/core/rcu_cell.h"

namespace marigoldquay {

class ConfigView {
 public:
  virtual ~ConfigView() = default;

  /// The configuration in force, pinned until the guard ends; do not block while holding it.
  virtual RcuCell<Configuration>::ReadGuard Read() const = 0;

  /// Revision in force without pinning it; cheap enough for every chunk of a stream.
  virtual Offset revision() const = 0;

  /// Whether there is evidence, at most 5 s old, that no withdrawal of a key has been missed.
  /// While false, keyed callers are rejected and keyed streams end.
  virtual bool current() const = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_CONFIG_VIEW_H_
