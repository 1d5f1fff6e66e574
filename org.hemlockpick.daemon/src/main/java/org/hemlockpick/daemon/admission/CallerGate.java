package org.hemlockpick.daemon.admission;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.hemlockpick.cell.RequestLimits;
import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Applies the limits to one connection, on its event loop. Before the HTTP codec it holds back the
 * head until it is complete, and what follows the request until its response is written; after the
 * codec it holds back the request until its body is complete. Reads are asked for here only.
 */
final class CallerGate {
  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 2_048;
  private static final int MAX_READ_BYTES = 16_384;

  /** Bytes that a parsed line of a head takes, beside its text. */
  private static final int LINE_BYTES = 256;

  /** Copies of a body that a controller makes: the array and what is parsed from it. */
  private static final int BODY_COPIES = 2;

  private final CallerAdmission admission;
  private final Channel channel;
  private final ConnectionTable.Entry entry;
  private final ByteBudget.Holding holding;
  private final PhaseTimer timer;
  private final HeadScanner scanner = new HeadScanner();
  private RequestLimits limits;
  private ByteBuf head = Unpooled.EMPTY_BUFFER;
  private ByteBuf unread = Unpooled.EMPTY_BUFFER;
  private @Nullable BodyScanner bodyScanner;
  private @Nullable BodyBuffer body;
  private @Nullable ChannelHandlerContext codecInput;
  private boolean isProcessing;
  private boolean closesAfterResponse;

  CallerGate(CallerAdmission admission, Channel channel) {
    this.admission = admission;
    this.channel = channel;
    this.limits = admission.limits();
    this.entry =
        new ConnectionTable.Entry(
            admission.nowMillis(), () -> closeLater(RefusalReason.CONNECTIONS));
    this.holding = new ByteBudget.Holding(() -> closeLater(RefusalReason.BYTES_RECLAIMED));
    this.timer =
        new PhaseTimer(
            channel.eventLoop(), admission::nowMillis, this::deadlineMillis, this::onExpired);
  }

  /** Adds the handlers; returns whether bytes were read that the codec has not got. */
  BooleanSupplier install() {
    channel.config().setAutoRead(false);
    channel
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
    String codec = channel.pipeline().context(HttpServerCodec.class).name();
    ByteHandler byteHandler = new ByteHandler();
    channel.pipeline().addFirst(byteHandler);
    codecInput = channel.pipeline().context(byteHandler);
    channel.pipeline().addAfter(codec, null, new MessageHandler());
    var unused = channel.closeFuture().addListener(closed -> onClosed());
    admission.connections().add(entry);
    timer.update();
    return () -> unread.isReadable();
  }

  private void onClosed() {
    admission.connections().remove(entry);
    admission.budget().releaseAll(holding);
    timer.cancel();
    discard();
  }

  private void discard() {
    ReferenceCountUtil.release(unread);
    unread = Unpooled.EMPTY_BUFFER;
    head = Unpooled.EMPTY_BUFFER;
    body = null;
  }

  private long deadlineMillis() {
    return entry.sinceMillis() + entry.phase().maxMillis(limits, admission.settings());
  }

  private void onExpired() {
    close(entry.phase().timeout());
  }

  /** Closes the connection on its event loop; may be called on any thread. */
  private void closeLater(RefusalReason reason) {
    channel.eventLoop().execute(() -> close(reason));
  }

  private void close(@Nullable RefusalReason reason) {
    if (reason != null && channel.isOpen()) {
      admission.count(reason);
    }
    var unused = channel.close();
  }

  private void enter(Phase phase) {
    entry.enter(phase, admission.nowMillis());
    if (!isProcessing) {
      timer.update();
    }
  }

  private boolean isReceiving() {
    Phase phase = entry.phase();
    return phase == Phase.IDLE || phase == Phase.HEAD || phase == Phase.BODY;
  }

  private boolean isRefused() {
    return entry.phase() == Phase.REFUSED;
  }

  /** Returns whether more may be read: at most one buffer is kept behind a request. */
  private boolean wantsRead() {
    return !unread.isReadable() && !closesAfterResponse;
  }

  private void receive(ByteBuf bytes) {
    if (isRefused() || closesAfterResponse || !channel.isOpen()) {
      bytes.release();
      return;
    }
    unread = unread.isReadable() ? join(unread, bytes) : bytes;
    process();
  }

  private static ByteBuf join(ByteBuf first, ByteBuf second) {
    ByteBuf joined = Unpooled.copiedBuffer(first, second);
    first.release();
    second.release();
    return joined;
  }

  /** Passes on bytes up to the end of one request, and keeps the others. */
  private void process() {
    isProcessing = true;
    boolean wasReceiving = isReceiving();
    while (wasReceiving && isReceiving() && unread.isReadable()) {
      wasReceiving = entry.phase() == Phase.BODY ? passBody() : passHead();
    }
    isProcessing = false;
    keepUnread();
    timer.update();
    if (entry.phase() == Phase.IDLE && unread.isReadable()) {
      resumeLater();
    }
  }

  /** Lets other connections take their turn before the next request of this one. */
  private void resumeLater() {
    channel.eventLoop().execute(() -> resume());
  }

  private void resume() {
    if (isReceiving() && unread.isReadable()) {
      process();
      codecInput().fireChannelReadComplete();
    }
    requestRead();
  }

  private void requestRead() {
    if (wantsRead()) {
      codecInput().read();
    }
  }

  /** Copies what is left of a read buffer, which may be much larger. */
  private void keepUnread() {
    ByteBuf left = unread;
    unread = Unpooled.EMPTY_BUFFER;
    if (left.isReadable() && !isRefused()) {
      keep(left);
    }
    left.release();
  }

  private void keep(ByteBuf left) {
    if (admission.budget().add(holding, left.readableBytes())) {
      unread = Unpooled.copiedBuffer(left);
    } else {
      admission.count(RefusalReason.PIPELINED_BYTES);
      closesAfterResponse = true;
    }
  }

  /** Collects the head and passes it on once complete; returns whether more may follow. */
  private boolean passHead() {
    scanner.skipEmptyLines(unread);
    if (entry.phase() == Phase.IDLE && unread.isReadable()) {
      limits = admission.limits();
      admission.budget().begin(holding, admission.nowMillis());
      enter(Phase.HEAD);
    }
    int length = scanner.scan(unread);
    if (scanner.bytes() > limits.maxHeaderBytes()) {
      refuse(RefusalReason.HEAD_TOO_LARGE, Refusals.headTooLarge());
      return false;
    }
    if (length == 0) {
      return true;
    }
    if (!hold(length)) {
      refuse(RefusalReason.BODY_NOT_ADMITTED, ResultCode.OVERLOADED);
      return false;
    }
    head = head.isReadable() ? head : Unpooled.buffer(length);
    head.writeBytes(unread, length);
    return !scanner.isComplete() || decodeHead();
  }

  private boolean decodeHead() {
    ByteBuf whole = head;
    head = Unpooled.EMPTY_BUFFER;
    boolean held = hold(LINE_BYTES * scanner.lines());
    scanner.resume();
    if (!held) {
      refuse(RefusalReason.BODY_NOT_ADMITTED, ResultCode.OVERLOADED);
      return false;
    }
    codecInput().fireChannelRead(whole);
    return entry.phase() == Phase.HEAD || entry.phase() == Phase.BODY;
  }

  private boolean hold(int bytes) {
    admission.budget().touch(holding, admission.nowMillis());
    return admission.budget().add(holding, bytes);
  }

  /** Passes bytes of the body to the codec; returns whether more may follow. */
  private boolean passBody() {
    BodyScanner scan = Objects.requireNonNull(bodyScanner);
    int length = scan.scan(unread);
    if (length == 0 || scan.isMalformed()) {
      refuse(RefusalReason.MALFORMED, ResultCode.BAD_REQUEST);
      return false;
    }
    // A copy, as the codec may keep part of a line and with it the whole read buffer.
    codecInput().fireChannelRead(Unpooled.copiedBuffer(unread.readSlice(length)));
    return entry.phase() == Phase.BODY;
  }

  private void onHead(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(RefusalReason.MALFORMED, ResultCode.BAD_REQUEST);
      return;
    }
    RequestHead decided = new RequestHead(request);
    RequestHead.Refusal refusal = decided.refusal(admission.policy(), limits).orElse(null);
    if (refusal != null) {
      refuse(refusal.reason(), refusal.code());
      return;
    }
    if (!admission.budget().admits(holding, decided.declaredBytes(), admission.nowMillis())) {
      refuse(RefusalReason.BODY_NOT_ADMITTED, ResultCode.OVERLOADED);
      return;
    }
    body = new BodyBuffer(request, decided.maxBytes(limits));
    bodyScanner = decided.newBodyScanner();
    enter(Phase.BODY);
    if (HttpUtil.is100ContinueExpected(request)) {
      request.headers().remove(HttpHeaderNames.EXPECT);
      var unused = send(Refusals.continueRequest());
    }
  }

  private void onContent(ChannelHandlerContext context, BodyBuffer buffer, HttpContent content) {
    int length = content.content().readableBytes();
    if (content.decoderResult().isFailure()) {
      refuse(RefusalReason.MALFORMED, ResultCode.BAD_REQUEST);
      return;
    }
    if (buffer.exceedsLimit(length)) {
      refuse(RefusalReason.BODY_TOO_LARGE, ResultCode.TOO_LARGE);
      return;
    }
    int growth = buffer.growth(length);
    if (!hold(growth)) {
      refuse(RefusalReason.BODY_NOT_ADMITTED, ResultCode.OVERLOADED);
      return;
    }
    buffer.add(content.content(), growth);
    if (content instanceof LastHttpContent) {
      onComplete(context, buffer);
    }
  }

  private void onComplete(ChannelHandlerContext context, BodyBuffer buffer) {
    if (!hold(BODY_COPIES * buffer.size())) {
      refuse(RefusalReason.BODY_NOT_ADMITTED, ResultCode.OVERLOADED);
      return;
    }
    if (!admission.budget().complete(holding)) {
      return;
    }
    body = null;
    bodyScanner = null;
    enter(Phase.SERVING);
    context.fireChannelRead(buffer.head());
    context.fireChannelRead(buffer.toContent());
  }

  private void onResponse(HttpResponse response) {
    if (closesAfterResponse) {
      HttpUtil.setKeepAlive(response, false);
    }
    enter(Phase.RESPONSE);
  }

  private void onResponseWritten() {
    if (closesAfterResponse || !channel.isOpen()) {
      var unused = channel.close();
      return;
    }
    admission.budget().releaseAll(holding);
    scanner.reset();
    enter(Phase.IDLE);
    if (!isProcessing) {
      keepUnread();
      resumeLater();
    }
  }

  private void refuse(RefusalReason reason, ResultCode code) {
    refuse(reason, Refusals.of(admission.policy(), code));
  }

  /**
   * Sends a refusal and discards what still arrives until the caller closes the connection or some
   * time has passed: closing at once would reset it, and the caller might never see the refusal.
   */
  private void refuse(RefusalReason reason, ByteBuf response) {
    admission.count(reason);
    enter(Phase.REFUSED);
    admission.budget().releaseAll(holding);
    head = Unpooled.EMPTY_BUFFER;
    body = null;
    var unused = send(response).addListener(sent -> shutdownOutput());
  }

  private void shutdownOutput() {
    if (channel instanceof DuplexChannel duplex) {
      var unused = duplex.shutdownOutput();
    }
  }

  /** Sends bytes without the codec. */
  private ChannelFuture send(ByteBuf bytes) {
    return codecInput().writeAndFlush(bytes);
  }

  private ChannelHandlerContext codecInput() {
    return Objects.requireNonNull(codecInput);
  }

  /** Sees the bytes before the codec. */
  private final class ByteHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      receive((ByteBuf) bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.fireChannelReadComplete();
      requestRead();
    }

    @Override
    public void read(ChannelHandlerContext context) {
      requestRead();
    }
  }

  /** Sees requests after the codec and responses before it. */
  private final class MessageHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (message instanceof HttpRequest request && entry.phase() == Phase.HEAD) {
          onHead(request);
        }
        BodyBuffer buffer = body;
        if (message instanceof HttpContent content && buffer != null) {
          onContent(context, buffer, content);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ChannelPromise written = promise.unvoid();
      if (message instanceof HttpResponse response && !isInformational(response)) {
        onResponse(response);
      }
      if (message instanceof LastHttpContent) {
        var unused = written.addListener(done -> onResponseWritten());
      }
      var unused = context.write(message, written);
    }

    private static boolean isInformational(HttpResponse response) {
      return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
  }
}
