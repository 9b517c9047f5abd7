// Public types of the backend package.
#ifndef MARIGOLDQUAY_BACKEND_FWD_H_
#define MARIGOLDQUAY_BACKEND_FWD_H_

namespace marigoldquay {

class ActiveRequests;
class ActiveRequestSet;
class BackgroundHoldReleaser;
class EngineClient;
class HoldReleaser;
class PlainClient;
class PlainServices;
class RetryBudget;
class Steward;
class StewardThreads;
struct DecodeRequest;
struct DecodeResult;
struct PlainRequest;
struct PrefillRequest;
struct PrefillResult;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_FWD_H_
