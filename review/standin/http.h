#pragma once

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/// HTTP on plain sockets, as far as the stand-ins of the cases need it.
namespace standin {

inline std::string fieldOf(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads a whole request; returns its head, or nothing if the peer closed.
inline std::string readRequest(int Socket) {
  std::string Bytes;
  std::array<char, 4096> Buffer{};
  while (true) {
    const std::size_t End = Bytes.find("\r\n\r\n");
    if (End != std::string::npos) {
      const std::string Head = Bytes.substr(0, End + 2);
      const std::string Length = fieldOf(Head, "Content-Length");
      const std::size_t Body = Length.empty() ? 0 : std::stoul(Length);
      if (Bytes.size() >= End + 4 + Body)
        return Head;
    }
    const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return {};
    Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
}

inline sockaddr_in addressOf(const std::string &Ip, unsigned Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Ends the process if the address can't be used.
inline int listenOn(const std::string &Ip, unsigned Port) {
  const int Listener = socket(AF_INET, SOCK_STREAM, 0);
  const int Yes = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
  const sockaddr_in Address = addressOf(Ip, Port);
  constexpr int Backlog = 64;
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0 ||
      listen(Listener, Backlog) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return Listener;
}

inline int acceptOn(int Listener) {
  const int Socket = accept(Listener, nullptr, nullptr);
  const int Yes = 1;
  if (Socket >= 0)
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
  return Socket;
}

/// The answer of a runner that isn't the expected one.
inline std::string misdirected(const std::string &Id) {
  return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + Id +
         "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

} // namespace standin
