// Public types of the entry package.
#ifndef MARIGOLDQUAY_ENTRY_FWD_H_
#define MARIGOLDQUAY_ENTRY_FWD_H_

namespace marigoldquay {

class EntryService;
class HttpServer;
struct HttpServerOptions;
struct HttpServerReply;
struct HttpServerRequest;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_FWD_H_
