#include "http/client.h"
#include "http/parser.h"
#include "http/server.h"
#include "http/socket.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <netinet/in.h>
#include <pcg_random.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

constexpr std::uint16_t Port = 18101;
const Address ServerAddress{"127.0.0.1", Port};

/// Server and client on one loop. The server echoes the request at "/echo", streams an answer at
/// "/stream", begins one at "/open", and aborts an answer half-way at any other path.
struct Fixture
{
    Loop loop;
    Server server;
    Client client;
    std::vector<ExchangePtr> exchanges; ///< keeps them alive

    Fixture()
        : server(this->loop, ServerAddress, limitsWithMaxBody(1000),
                 [this](const ExchangePtr &exchange) { this->serve(exchange); })
        , client(this->loop)
    { }

    void serve(const ExchangePtr &exchange)
    {
        const Request &request = exchange->request();
        if (request.path == "/echo") {
            exchange->respond(
                {200,
                 {{"x-extra", std::string(findHeader(request.headers, "x-extra"))}},
                 std::string(toString(request.method)) + " " + request.query + " " + request.body});
            return;
        }
        this->exchanges.push_back(exchange);
        exchange->begin(200, {{"content-type", "text/plain"}});
        exchange->write("one ");
        exchange->write("two");
        if (request.path == "/stream")
            exchange->end();
        else if (request.path != "/open")
            exchange->abort();
    }

    /// Runs a call to its end, for at most five seconds.
    SyncResult call(CallRequest request)
    {
        SyncResult result;
        CallHandlers handlers;
        handlers.onHead = [&](int status, const Headers &headers) {
            result.response.status = status;
            result.response.headers = headers;
        };
        handlers.onData = [&](std::string_view data) { result.response.body.append(data); };
        handlers.onEnd = [&] {
            result.ok = true;
            this->loop.stop();
        };
        handlers.onFailed = [&](const CallFailure &failure) {
            result.failure = failure;
            this->loop.stop();
        };
        const CallPtr call = this->client.start(std::move(request), std::move(handlers));
        this->loop.runFor(std::chrono::seconds(5));
        return result;
    }
};

CallRequest request(Method method, std::string path, std::string body = {})
{
    CallRequest call;
    call.to = ServerAddress;
    call.method = method;
    call.path = std::move(path);
    call.body = std::move(body);
    return call;
}

} // namespace

Test(http, bodies_headers_and_queries_arrive_over_reused_connections)
{
    Fixture fixture;
    for (int round = 0; round < 3; ++round) {
        CallRequest post = request(Method::Post, "/echo?a=1&b=2", "hello");
        post.headers.push_back({"x-extra", "kept"});
        const SyncResult result = fixture.call(post);
        cr_assert(result.ok);
        cr_assert(result.response.body == "POST a=1&b=2 hello");
        cr_assert(findHeader(result.response.headers, "x-extra") == "kept");
    }
    cr_assert(fixture.call(request(Method::Get, "/echo")).response.body == "GET  ");
    cr_assert(fixture.call(request(Method::Put, "/echo", "x")).response.body == "PUT  x");
    cr_assert(fixture.call(request(Method::Delete, "/echo")).response.body == "DELETE  ");
}

Test(http, a_streamed_answer_completes_and_an_aborted_one_fails)
{
    Fixture fixture;
    const SyncResult whole = fixture.call(request(Method::Get, "/stream"));
    cr_assert(whole.ok);
    cr_assert(whole.response.body == "one two");
    const SyncResult cut = fixture.call(request(Method::Get, "/cut"));
    cr_assert(not(cut.ok));
    cr_assert(cut.failure.mayHaveBeenSent);
}

Test(http, a_call_whose_connection_is_refused_has_not_been_sent)
{
    Fixture fixture;
    CallRequest unreachable = request(Method::Post, "/echo", "x");
    unreachable.to.port = 18109;
    const SyncResult result = fixture.call(unreachable);
    cr_assert(not(result.ok));
    cr_assert(not(result.failure.mayHaveBeenSent));
}

// Guards against a call that is started while another one is being closed, and is then closed with
// it. Callers retry in this way.
Test(http, a_call_started_in_the_handler_of_a_failed_call_succeeds)
{
    Fixture fixture;
    SyncResult second;
    CallHandlers secondHandlers;
    secondHandlers.onEnd = [&] {
        second.ok = true;
        fixture.loop.stop();
    };
    secondHandlers.onFailed = [&](const CallFailure &failure) {
        second.failure = failure;
        fixture.loop.stop();
    };
    CallHandlers handlers;
    handlers.onFailed = [&](const CallFailure &) {
        fixture.client.start(request(Method::Get, "/echo"), secondHandlers);
    };
    fixture.client.start(request(Method::Get, "/cut"), handlers);
    fixture.loop.runFor(std::chrono::seconds(5));
    cr_assert(second.ok, "%s", second.failure.reason.c_str());
}

Test(http, sequential_calls_use_the_same_connection)
{
    Fixture fixture;
    for (int round = 0; round < 5; ++round) {
        cr_assert(fixture.call(request(Method::Post, "/echo", "x")).ok);
        fixture.loop.runFor(Millis(5));
    }
    cr_assert(fixture.server.connectionCount() == 1U);
}

Test(http, a_body_over_the_limit_is_refused)
{
    Fixture fixture;
    const SyncResult result = fixture.call(request(Method::Post, "/echo", std::string(2000, 'x')));
    cr_assert(result.response.status == 413);
}

Test(http, a_call_without_an_answer_times_out)
{
    Fixture fixture;
    Server silent(fixture.loop, {"127.0.0.1", 18102}, limitsWithMaxBody(1000),
                  [&](const ExchangePtr &exchange) { fixture.exchanges.push_back(exchange); });
    CallRequest call = request(Method::Get, "/never");
    call.to.port = 18102;
    call.headTimeout = Millis(50);
    const SyncResult result = fixture.call(call);
    cr_assert(not(result.ok));
    cr_assert(result.failure.timedOut);
    cr_assert(result.failure.mayHaveBeenSent);
}

namespace {

/// Result of parseAll().
struct Parsed
{
    std::vector<MessageHead> heads;
    std::vector<std::string> bodies;
    std::size_t completeCount = 0;
    ParseState lastState = ParseState::NeedsMore;
};

/// Parses \a input, passed to the parser in pieces of \a pieceBytes, up to the first error.
Parsed parseAll(MessageKind kind, std::string_view input, std::size_t pieceBytes)
{
    Parsed parsed;
    Parser parser(kind,
                  {[&](const MessageHead &head) {
                       parsed.heads.push_back(head);
                       parsed.bodies.emplace_back();
                       return false;
                   },
                   [&](std::string_view data) { parsed.bodies.back().append(data); }});
    parser.setMaxHeadBytes(500);
    while (!input.empty()) {
        std::string_view piece = input.substr(0, pieceBytes);
        input.remove_prefix(piece.size());
        while (!piece.empty()) {
            const ParseStep step = parser.feed(piece);
            piece.remove_prefix(std::min(step.consumed, piece.size()));
            parsed.lastState = step.state;
            parsed.completeCount += step.state == ParseState::Complete ? 1 : 0;
            if (step.state != ParseState::Complete && step.state != ParseState::NeedsMore)
                return parsed;
        }
    }
    return parsed;
}

/// Server that sends the same bytes on each connection, whatever the request, and then closes or
/// resets it, or keeps it open.
struct RawServer
{
    Loop &loop;
    uv_tcp_t *listener = new uv_tcp_t;
    std::string bytes;
    bool isResetting = false;
    bool isKeepingOpen = false;
    Millis endDelay{0}; ///< from the bytes until the end of the connection
    std::vector<Socket::Ptr> sockets;
    std::vector<Timer> timers;

    RawServer(Loop &loop, std::uint16_t port, std::string bytes)
        : loop(loop)
        , bytes(std::move(bytes))
    {
        uv_tcp_init(loop.handle(), this->listener);
        this->listener->data = this;
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", port, &address);
        uv_tcp_bind(this->listener, reinterpret_cast<const sockaddr *>(&address), 0);
        uv_listen(reinterpret_cast<uv_stream_t *>(this->listener), 16,
                  [](uv_stream_t *stream, int) {
                      static_cast<RawServer *>(stream->data)->onConnection();
                  });
    }
    ~RawServer()
    {
        for (const Socket::Ptr &socket : this->sockets)
            socket->close();
        uv_close(reinterpret_cast<uv_handle_t *>(this->listener),
                 [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    }

    void onConnection()
    {
        const std::size_t index = this->sockets.size();
        SocketHandlers handlers;
        handlers.onData = [this, index](std::string_view) {
            this->sockets[index]->write(this->bytes);
            if (this->endDelay == Millis(0))
                return this->end(index);
            this->timers.push_back(
                this->loop.after(this->endDelay, [this, index] { this->end(index); }));
        };
        this->sockets.push_back(Socket::accept(
            this->loop, reinterpret_cast<uv_stream_t *>(this->listener), std::move(handlers)));
    }

    void end(std::size_t index)
    {
        if (this->isResetting)
            this->sockets[index]->reset();
        else if (!this->isKeepingOpen)
            this->sockets[index]->closeGracefully();
    }
};

constexpr std::uint16_t RawPort = 18103;

const Address RawAddress{"127.0.0.1", RawPort};

SyncResult callRaw(Fixture &fixture, Method method = Method::Get)
{
    CallRequest call = request(method, "/raw");
    call.to.port = RawPort;
    call.headTimeout = Millis(500);
    call.bodyTimeout = Millis(500);
    return fixture.call(call);
}

/// What a call reports whose handler pauses reading at the first part of the answer's body.
struct PausedCall
{
    std::string body;
    std::string failure;
    bool isComplete = false;
};

/// Makes a call that pauses reading, lets the connection end meanwhile, and reads on.
PausedCall callRawPaused(Fixture &fixture)
{
    constexpr Millis PauseTime{100};
    PausedCall seen;
    CallPtr call;
    Timer resume;
    CallHandlers handlers;
    handlers.onData = [&](std::string_view data) {
        seen.body.append(data);
        if (resume.isActive())
            return;
        call->setReading(false);
        resume = fixture.loop.after(PauseTime, [&] { call->setReading(true); });
    };
    handlers.onEnd = [&] {
        seen.isComplete = true;
        fixture.loop.stop();
    };
    handlers.onFailed = [&](const CallFailure &failure) {
        seen.failure = failure.reason;
        fixture.loop.stop();
    };
    CallRequest rawCall = request(Method::Get, "/raw");
    rawCall.to = RawAddress;
    call = fixture.client.start(std::move(rawCall), std::move(handlers));
    fixture.loop.runFor(std::chrono::seconds(5));
    call->cancel();
    return seen;
}

} // namespace

Test(http, targets_and_headers_are_kept_as_sent)
{
    const Parsed parsed = parseAll(
        MessageKind::Request,
        "GET /a%2fb//c/../d?x=%26&&y HTTP/1.1\r\nHost: h\r\nOdd-Header: One  Two\r\n\r\n", 7);
    cr_assert(parsed.completeCount == 1U);
    cr_assert(parsed.heads[0].target == "/a%2fb//c/../d?x=%26&&y");
    cr_assert(findHeader(parsed.heads[0].headers, "odd-header") == "One  Two");
}

Test(http, pipelined_messages_are_parsed_from_pieces_of_any_size)
{
    const std::string input = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                              "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "2\r\nde\r\n1\r\nf\r\n0\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
    for (std::size_t piece = 1; piece <= input.size(); ++piece) {
        const Parsed parsed = parseAll(MessageKind::Request, input, piece);
        cr_assert(parsed.completeCount == 3U, "pieces of %zu", piece);
        cr_assert(parsed.bodies[0] == "abc");
        cr_assert(parsed.bodies[1] == "def");
        cr_assert(parsed.heads[2].target == "/c");
    }
}

// Guards against request smuggling: with both framings, the router and a server behind it could
// disagree on where the request ends.
Test(http, a_request_with_both_a_length_and_chunks_is_malformed)
{
    const Parsed parsed
        = parseAll(MessageKind::Request,
                   "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                   1000);
    cr_assert(parsed.lastState == ParseState::Malformed);
    cr_assert(parsed.completeCount == 0U);
}

Test(http, a_head_over_the_limit_is_reported)
{
    const Parsed parsed = parseAll(MessageKind::Request,
                                   "GET / HTTP/1.1\r\nA: " + std::string(600, 'x') + "\r\n", 100);
    cr_assert(parsed.lastState == ParseState::HeadTooLarge);
}

Test(http, damaged_messages_do_not_crash_the_parser)
{
    const std::string intact
        = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=5\r\n\r\nabc"
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";
    pcg32 random(7);
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = intact;
        const unsigned damagedBytes = 1 + random(6);
        for (unsigned count = 0; count < damagedBytes; ++count)
            damaged[random(static_cast<unsigned>(damaged.size()))] = static_cast<char>(random(256));
        const Parsed parsed = parseAll(MessageKind::Response, damaged, 1 + random(60));
        cr_assert(parsed.completeCount <= 3U);
    }
}

Test(http, an_answer_without_a_length_completes_with_the_end_of_the_stream)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\n\r\nall of it");
    const SyncResult whole = callRaw(fixture);
    cr_assert(whole.ok);
    cr_assert(whole.response.body == "all of it");
}

// Guards against an answer that is taken for complete although its end was lost. libuv reports a
// reset directly behind data as the end of the stream.
Test(http, an_answer_without_a_length_fails_after_a_reset)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\n\r\nhalf of");
    server.isResetting = true;
    const SyncResult result = callRaw(fixture);
    cr_assert(not(result.ok));
    cr_assert(result.failure.connectionLost);
}

// Guards against an end that is looked for only behind a part of the body.
Test(http, an_answer_without_a_length_may_be_empty)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\nX-Extra: 1\r\n\r\n");
    for (const Millis delay : {Millis(0), Millis(30)}) {
        server.endDelay = delay;
        const SyncResult whole = callRaw(fixture);
        cr_assert(whole.ok);
        cr_assert(whole.response.status == 200);
        cr_assert(whole.response.body.empty());
        cr_assert(findHeader(whole.response.headers, "x-extra") == "1");
    }
    server.isResetting = true;
    for (const Millis delay : {Millis(0), Millis(30)}) {
        server.endDelay = delay;
        cr_assert(not(callRaw(fixture).ok));
    }
}

// The reset arrives later than the body, when the call has read all of it.
Test(http, an_answer_without_a_length_fails_after_a_late_reset)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\n\r\nhalf of");
    server.isResetting = true;
    server.endDelay = Millis(30);
    const SyncResult result = callRaw(fixture);
    cr_assert(not(result.ok));
    cr_assert(result.response.body == "half of");
    cr_assert(result.failure.connectionLost);
}

// More bytes than one read takes, so that the connection has ended before they are read. Guards
// against a lost rest of the body, and against a reset that looks like a close after a pause.
Test(http, the_end_of_an_answer_without_a_length_is_told_from_a_reset_after_a_pause)
{
    Fixture fixture;
    const std::string body(200'000, 'x');
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\n\r\n" + body);
    const PausedCall whole = callRawPaused(fixture);
    cr_assert(whole.isComplete, "%s", whole.failure.c_str());
    cr_assert(whole.body == body);
    server.isResetting = true;
    const PausedCall cut = callRawPaused(fixture);
    cr_assert(not(cut.isComplete));
    cr_assert(not(cut.failure.empty()));
}

// The server allows another request, though the end of its answer is the end of the connection.
Test(http, a_connection_that_ended_an_answer_is_not_used_again)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort,
                     "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n"
                     "Keep-Alive: timeout=9\r\n\r\nbody");
    for (std::size_t round = 1; round <= 3; ++round) {
        cr_assert(callRaw(fixture).ok);
        cr_assert(fixture.client.connectionsTo(RawAddress) == 0U);
        cr_assert(server.sockets.size() == round);
    }
}

// Guards against calls that wait for the end of the connection, and against the next answer that is
// taken for the body. An answer with one of these statuses may state a length that it doesn't have.
Test(http, an_answer_whose_status_has_no_body_ends_with_its_head)
{
    Fixture fixture;
    for (const char *head : {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n",
                             "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
                             "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        RawServer server(fixture.loop, RawPort, head);
        server.isKeepingOpen = true;
        for (int round = 0; round < 2; ++round) {
            const SyncResult result = callRaw(fixture);
            cr_assert(result.ok, "%s %s", head, result.failure.reason.c_str());
            cr_assert(result.response.body.empty());
        }
        cr_assert(server.sockets.size() == 1U);
        fixture.client.closeIdleConnections(RawAddress);
    }
}

// Guards against the head of the answer that is taken for the body of the interim one before it.
Test(http, an_interim_answer_has_no_body)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort,
                     "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const SyncResult result = callRaw(fixture);
    cr_assert(result.ok, "%s", result.failure.reason.c_str());
    cr_assert(result.response.body == "ok");
}

// Guards against a cut answer that the end of the connection completes.
Test(http, an_answer_that_is_cut_inside_its_framing_fails)
{
    Fixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> cuts{"HTTP/1.1 2",
                                        ok,
                                        ok + "X-Extra: 1\r\n",
                                        "HTTP/1.1 100 Continue\r\n\r\n",
                                        ok + "Content-Length: 3\r\n\r\n",
                                        ok + "Content-Length: 3\r\n\r\nab",
                                        ok + "Connection: close\r\nContent-Length: 3\r\n\r\nab",
                                        "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nab",
                                        chunked,
                                        chunked + "3",
                                        chunked + "3\r\n",
                                        chunked + "3\r\nab",
                                        chunked + "3\r\nabc",
                                        chunked + "3\r\nabc\r\n",
                                        chunked + "3\r\nabc\r\n0",
                                        chunked + "3\r\nabc\r\n0\r\n"};
    for (const std::string &cut : cuts) {
        RawServer server(fixture.loop, RawPort, cut);
        for (const bool isResetting : {false, true}) {
            server.isResetting = isResetting;
            const SyncResult result = callRaw(fixture);
            cr_assert(not(result.ok), "%s", cut.c_str());
            cr_assert(result.failure.connectionLost, "%s", cut.c_str());
        }
        cr_assert(fixture.client.connectionsTo(RawAddress) == 0U);
    }
}

// Guards against an answer that is taken for the one to the next request on the connection.
Test(http, a_connection_with_bytes_after_the_answer_is_closed)
{
    Fixture fixture;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    RawServer server(fixture.loop, RawPort, answer + answer);
    cr_assert(callRaw(fixture).ok);
    cr_assert(fixture.client.connectionsTo({"127.0.0.1", RawPort}) == 0U);
}

Test(http, an_answer_shorter_than_its_length_fails)
{
    Fixture fixture;
    RawServer server(fixture.loop, RawPort, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok");
    const SyncResult cut = callRaw(fixture);
    cr_assert(not(cut.ok));
    cr_assert(cut.failure.headReceived);
}

// Guards against SIGPIPE, which ends the process by default when a caller closes its connection
// while an answer is written to it. The constructor of Loop ignores the signal.
Test(http, a_write_to_a_closed_connection_raises_no_signal)
{
    Fixture fixture;
    std::array<int, 2> sockets{};
    cr_assert(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    close(sockets[1]);
    const ssize_t written = write(sockets[0], "x", 1);
    const int code = errno;
    cr_assert(written < 0);
    cr_assert(code == EPIPE);
    close(sockets[0]);
}

Test(http, valid_escapes_are_decoded_and_other_bytes_stay)
{
    cr_assert(percentDecoded("/a%20b%2Fc?x=%26") == "/a b/c?x=&");
    cr_assert(percentDecoded("100%") == "100%");
    cr_assert(percentDecoded("%4") == "%4");
    cr_assert(percentDecoded("%zz%+1%41") == "%zz%+1A");
}

Test(http, any_text_is_one_segment_of_a_path_and_one_value_of_a_query)
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes += static_cast<char>(byte);
    const std::string encoded = percentEncoded(bytes);
    cr_assert(percentDecoded(encoded) == bytes);
    cr_assert(encoded.find_first_of(" /?&=+#\r\n\x7F") == std::string::npos);
    cr_assert(queryValue("a=1&name=" + encoded + "&b=2", "name") == bytes);
    cr_assert(percentEncoded("i-7f3a.91_c2~") == "i-7f3a.91_c2~");
    cr_assert(percentEncodedPath("claims/a b/%41") == "claims/a%20b/%2541");
}

// Guards against a name that becomes another request, or a line of a message.
Test(http, a_request_whose_lines_would_break_is_not_sent)
{
    Fixture fixture;
    const std::string nul(1, '\0');
    std::vector<CallRequest> broken;
    for (const std::string &path :
         {std::string("/a b"), std::string("/a\r\nx: y"), std::string("/a\n"), "/a" + nul})
        broken.push_back(request(Method::Get, path));
    for (const std::string &text : {std::string("a\r\nx: y"), std::string("a\n"), "a" + nul}) {
        broken.push_back(request(Method::Get, "/echo"));
        broken.back().headers.push_back({"x", text});
        broken.push_back(request(Method::Get, "/echo"));
        broken.back().headers.push_back({text, "x"});
    }
    for (const CallRequest &call : broken) {
        const SyncResult result = fixture.call(call);
        cr_assert(not(result.ok), "%s", call.path.c_str());
        cr_assert(not(result.failure.mayHaveBeenSent));
        cr_assert(result.failure.reason == "the request is malformed");
    }
}

Test(http, a_connection_over_the_limit_is_closed_and_the_others_are_served)
{
    Fixture fixture;
    ServerLimits oneConnection = limitsWithMaxBody(1000);
    oneConnection.maxConnections = 1;
    fixture.server.setLimits(oneConnection);
    std::string body;
    CallHandlers handlers;
    handlers.onData = [&body](std::string_view data) { body.append(data); };
    const CallPtr open = fixture.client.start(request(Method::Get, "/open"), std::move(handlers));
    fixture.loop.runFor(Millis(100));
    cr_assert(body == "one two");
    CallRequest second = request(Method::Get, "/echo");
    second.reuse = Reuse::Never;
    cr_assert(not(fixture.call(second).ok));
    fixture.exchanges.front()->end();
    fixture.loop.runFor(Millis(100));
    cr_assert(open->isFinished());
    cr_assert(fixture.call(request(Method::Get, "/echo")).ok);
}

// Callers hold connections with half a request. Guards against bodies that take all memory.
Test(http, a_body_for_which_no_memory_is_left_is_refused_before_it_is_read)
{
    const Address address{"127.0.0.1", 18106};
    Loop loop;
    Client client(loop);
    std::size_t served = 0;
    Server server(loop, address, {}, [&](const ExchangePtr &exchange) {
        ++served;
        exchange->respond({200, {}, "done"});
    });
    const auto budget = std::make_shared<MemoryBudget>(100'000);
    server.setMemoryBudget(budget);
    std::vector<Socket::Ptr> holders;
    std::string answers;
    const auto hold = [&](std::size_t announced, std::size_t sent) {
        SocketHandlers handlers;
        handlers.onConnected = [&, index = holders.size(), announced, sent] {
            holders[index]->write("POST /a HTTP/1.1\r\ncontent-length: " + std::to_string(announced)
                                  + "\r\n\r\n" + std::string(sent, 'x'));
        };
        handlers.onData = [&](std::string_view data) { answers.append(data); };
        holders.push_back(Socket::connect(loop, address, std::move(handlers)));
        loop.runFor(Millis(50));
    };
    for (int count = 0; count < 10; ++count)
        hold(50'000, 30'000);
    cr_assert(budget->usedBytes() <= 50'000U, "%zu", budget->usedBytes());
    cr_assert(answers.starts_with("HTTP/1.1 503 "), "%s", answers.c_str());
    cr_assert(answers.find("retry-after: ") != std::string::npos);
    hold(60'000, 0);
    cr_assert(served == 0U);
    const auto small = [&] {
        int status = 0;
        CallRequest request;
        request.to = address;
        request.method = Method::Post;
        request.path = "/a";
        request.body = std::string(5000, 'x');
        const auto onAnswer = [&](const Response *response, const CallFailure &) {
            status = response ? response->status : 0;
            loop.stop();
        };
        const auto call = startBuffered(client, std::move(request), onAnswer);
        loop.runFor(Millis(1000));
        return status;
    };
    cr_assert(small() == 200);
    for (const Socket::Ptr &holder : holders)
        holder->close();
    loop.runFor(Millis(100));
    cr_assert(budget->usedBytes() == 0U, "%zu", budget->usedBytes());
}

// Guards against many requests that keep each other from becoming complete.
Test(http, of_many_bodies_that_arrive_at_the_same_time_those_with_memory_become_complete)
{
    constexpr std::size_t BodyBytes = 5000;
    constexpr std::size_t Callers = 40;
    constexpr std::size_t Admitted = 20;
    const Address address{"127.0.0.1", 18107};
    Loop loop;
    std::size_t served = 0;
    std::vector<ExchangePtr> waiting;
    Server server(loop, address, {}, [&](const ExchangePtr &exchange) {
        ++served;
        waiting.push_back(exchange);
    });
    const auto budget = std::make_shared<MemoryBudget>(Admitted * BodyBytes);
    server.setMemoryBudget(budget);
    std::vector<Socket::Ptr> callers;
    for (std::size_t index = 0; index < Callers; ++index) {
        SocketHandlers handlers;
        handlers.onConnected = [&, index] {
            callers[index]->write("POST /a HTTP/1.1\r\ncontent-length: " + std::to_string(BodyBytes)
                                  + "\r\n\r\n" + std::string(BodyBytes - 1, 'x'));
        };
        callers.push_back(Socket::connect(loop, address, std::move(handlers)));
    }
    loop.runFor(Millis(200));
    for (const Socket::Ptr &caller : callers)
        caller->write("x");
    loop.runFor(Millis(200));
    cr_assert(served == Admitted, "%zu", served);
    waiting.clear();
    for (const Socket::Ptr &caller : callers)
        caller->close();
    loop.runFor(Millis(100));
    cr_assert(budget->usedBytes() == 0U, "%zu", budget->usedBytes());
}

// Guards against memory without bounds for a caller that pipelines requests and reads no answers.
Test(http, pipelined_requests_wait_until_the_caller_reads_earlier_answers)
{
    constexpr std::size_t Requests = 300;
    constexpr std::size_t AnswerBytes = 256U << 10U;
    const Address address{"127.0.0.1", 18105};
    Loop loop;
    std::size_t served = 0;
    Server server(loop, address, limitsWithMaxBody(1000), [&](const ExchangePtr &exchange) {
        ++served;
        exchange->respond({200, {}, std::string(AnswerBytes, 'x')});
    });
    std::size_t received = 0;
    Socket::Ptr caller;
    SocketHandlers handlers;
    handlers.onConnected = [&] {
        caller->setReading(false);
        for (std::size_t request = 0; request < Requests; ++request)
            caller->write("GET /a HTTP/1.1\r\n\r\n");
    };
    handlers.onData = [&](std::string_view data) { received += data.size(); };
    caller = Socket::connect(loop, address, std::move(handlers));
    loop.runFor(Millis(300));
    cr_assert(served >= 1);
    cr_assert(served < Requests / 4, "%zu", served); // the kernel's buffers take some answers
    caller->setReading(true);
    loop.runFor(Millis(1500));
    cr_assert(served == Requests, "%zu", served);
    cr_assert(received > Requests * AnswerBytes);
    caller->close();
}

// A server that sends without end. Guards against memory and time without bounds in calls that
// collect the whole answer.
Test(client, an_answer_that_does_not_end_fails_the_call)
{
    Loop loop;
    Client client(loop);
    std::vector<Timer> timers;
    std::function<void(const ExchangePtr &, std::size_t)> writeMore
        = [&](const ExchangePtr &exchange, std::size_t bytes) {
              if (exchange->isClosed())
                  return;
              exchange->write(std::string(bytes, 'x'));
              timers.push_back(
                  loop.after(Millis(5), [&, exchange, bytes] { writeMore(exchange, bytes); }));
          };
    Server server(loop, {"127.0.0.1", 18104}, limitsWithMaxBody(1000),
                  [&](const ExchangePtr &exchange) {
                      exchange->begin(200, {});
                      writeMore(exchange, exchange->request().path == "/fast" ? 1U << 20U : 1U);
                  });
    const auto reasonOf = [&](const char *path) {
        std::string reason;
        CallRequest request;
        request.to = {"127.0.0.1", 18104};
        request.path = path;
        request.bodyTimeout = Millis(300);
        const auto call = startBuffered(client, std::move(request),
                                        [&](const Response *response, const CallFailure &failure) {
                                            reason = response ? "complete" : failure.reason;
                                            loop.stop();
                                        });
        loop.runFor(Millis(3000));
        return reason;
    };
    cr_assert(reasonOf("/fast") == "the answer is too large");
    cr_assert(reasonOf("/slow") == "the answer does not end");
}
