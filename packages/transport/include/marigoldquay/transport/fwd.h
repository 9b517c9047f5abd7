// Public types of the transport package.
#ifndef MARIGOLDQUAY_TRANSPORT_FWD_H_
#define MARIGOLDQUAY_TRANSPORT_FWD_H_

namespace marigoldquay {

class HttpClient;
class ReplyWriter;
class RpcClient;
class RpcRegistry;
class RpcServer;
struct CallOptions;
struct HttpOptions;
struct HttpRequest;
struct HttpResponse;
struct RpcCall;
struct RpcClientOptions;
struct RpcServerOptions;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_FWD_H_
