// Forward declarations of the public types of the relay package.
#ifndef MARIGOLDQUAY_RELAY_FWD_H_
#define MARIGOLDQUAY_RELAY_FWD_H_

namespace marigoldquay {

class BackendDialect;
class FrontHandler;
class QuotaGate;
class StreamPlacer;
struct BackendResponse;
struct BackendCall;
struct RequestMetadata;
struct FrontContext;
struct StreamPlacement;
struct PlacementRefusal;
struct StreamPlacementRequest;
struct PrefillHandle;
struct TokenDemand;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_FWD_H_
