// Public types of the net package.
#ifndef MARIGOLDQUAY_NET_FWD_H_
#define MARIGOLDQUAY_NET_FWD_H_

namespace marigoldquay {

class Cancellation;
class ConnectionPool;
class HttpConnection;
class HttpHandler;
class HttpListener;
class HttpReplyWriter;
class MemoryBudget;
class MemoryHolding;
struct HttpReply;
struct ListenerCapacity;
struct ListenerLimits;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_FWD_H_
