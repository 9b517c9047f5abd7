// Public types of the protocol package.
#ifndef MARIGOLDQUAY_PROTOCOL_FWD_H_
#define MARIGOLDQUAY_PROTOCOL_FWD_H_

namespace marigoldquay {

class FrameDecoder;
struct Frame;
struct FrameHeader;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_PROTOCOL_FWD_H_
