#include "endless_server.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

namespace quincewing::testing {

namespace {

constexpr std::size_t piece_bytes = 64UL * 1024;

std::string repeated(const std::string& text)
{
    std::string out;
    while (out.size() < piece_bytes) {
        out += text;
    }
    return out;
}

} // namespace

struct endless_server::connection
{
    connection(endless_server& s, int fd)
        : server(s), bev(bufferevent_socket_new(s.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
          next(s.loop_, [this] { write(server.bytes_.filler); })
    {
        bufferevent_setcb(
            bev,
            [](bufferevent* from, void* arg) {
                auto* in = bufferevent_get_input(from);
                evbuffer_drain(in, evbuffer_get_length(in));
                static_cast<connection*>(arg)->begin();
            },
            [](bufferevent*, void* arg) { static_cast<connection*>(arg)->go_on(); },
            [](bufferevent*, short, void* arg) {
                auto& self = *static_cast<connection*>(arg);
                self.server.close(self);
            },
            this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    ~connection() { bufferevent_free(bev); }

    void begin()
    {
        if (!begun) {
            begun = true;
            write(server.bytes_.start + server.bytes_.filler);
        }
    }

    void write(const std::string& bytes)
    {
        server.taken_ += bytes.size();
        bufferevent_write(bev, bytes.data(), bytes.size());
    }

    // Called when all that was written has been taken.
    void go_on()
    {
        if (begun && server.pause_ > duration{0}) {
            next.once(server.pause_);
        } else if (begun) {
            write(server.bytes_.filler);
        }
    }

    endless_server& server;
    bufferevent* bev;
    timer next;
    bool begun{};
};

endless_server::endless_server(event_loop& loop, endless_bytes bytes, duration pause)
    : loop_(loop), bytes_(std::move(bytes)), pause_(pause)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
            static_cast<endless_server*>(arg)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&at), sizeof at);
    socklen_t n = sizeof at;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&at), &n);
    address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

endless_server::~endless_server()
{
    open_.clear();
    evconnlistener_free(listener_);
}

void endless_server::accept(int fd)
{
    evutil_make_socket_nonblocking(fd);
    ++accepted_;
    open_.push_back(std::make_unique<connection>(*this, fd));
}

void endless_server::close(const connection& it)
{
    open_.remove_if([&](const auto& each) { return each.get() == &it; });
}

const std::list<endless_bytes>& all_endless_bytes()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(piece_bytes, 'x');
    static const std::list<endless_bytes> out{
        {"a status line", "HTTP/1.1 200 ", letters},
        {"a header's value", ok + "X-Endless: ", letters},
        {"headers", ok, repeated("X-Header: value\r\n")},
        {"interim responses", "", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
        {"empty lines", "", repeated("\r\n")},
        {"a body without a length", ok + "\r\n", letters},
        {"a body of a great length", ok + "Content-Length: 999999999999\r\n\r\n", letters},
        {"chunks", chunked, repeated("4\r\nabcd\r\n")},
        {"a chunk of a great length", chunked + "ffffffffff\r\n", letters},
        {"the length of a chunk", chunked, repeated("0")},
        {"the extension of a chunk", chunked + "4;", letters},
        {"a trailer", chunked + "0\r\nX-Trailer: ", letters},
        {"trailers", chunked + "0\r\n", repeated("X-Trailer: value\r\n")},
    };
    return out;
}

} // namespace quincewing::testing
