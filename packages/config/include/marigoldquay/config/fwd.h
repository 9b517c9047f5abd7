// Public types of the config package.
#ifndef MARIGOLDQUAY_CONFIG_FWD_H_
#define MARIGOLDQUAY_CONFIG_FWD_H_

namespace marigoldquay {

class ConfigView;
class Configuration;
struct BackendServer;
struct Key;
struct Pool;
struct Route;
struct Workspace;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_FWD_H_
