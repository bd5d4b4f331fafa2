package topazvalve.tcp;

import io.netty.handler.codec.haproxy.HAProxyCommand;
import io.netty.handler.codec.haproxy.HAProxyMessage;
import io.netty.handler.codec.haproxy.HAProxyProtocolVersion;
import io.netty.handler.codec.haproxy.HAProxyProxiedProtocol;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Converts PROXY headers, versions 1 and 2 (the PROXY protocol, HAProxy's specification of 2020-03-05). */
final class ProxyHeader {
    private static final String IPV4_MAPPED_PREFIX = "::ffff:";

    private ProxyHeader() {}

    /** Returns the header of {@code version} 1 or 2 for a request, with both addresses of one family, as required. */
    static HAProxyMessage encode(StreamRequest request, int version) {
        boolean ipv6 = isIpv6(request.source()) || isIpv6(request.destination());
        return new HAProxyMessage(
                version == 1 ? HAProxyProtocolVersion.V1 : HAProxyProtocolVersion.V2,
                HAProxyCommand.PROXY,
                ipv6 ? HAProxyProxiedProtocol.TCP6 : HAProxyProxiedProtocol.TCP4,
                addressText(request.source(), ipv6),
                addressText(request.destination(), ipv6),
                request.source().getPort(),
                request.destination().getPort());
    }

    private static boolean isIpv6(InetSocketAddress address) {
        return address.getAddress() instanceof Inet6Address;
    }

    private static String addressText(InetSocketAddress address, boolean ipv6) {
        String text = withoutZone(address.getAddress().getHostAddress());
        return ipv6 && !isIpv6(address) ? IPV4_MAPPED_PREFIX + text : text;
    }

    private static String withoutZone(String address) {
        int zoneStart = address.indexOf('%');
        return zoneStart < 0 ? address : address.substring(0, zoneStart);
    }

    /** Returns the addresses of a header; empty if it has none (LOCAL, UNKNOWN, unix sockets). */
    static Optional<StreamRequest> decode(HAProxyMessage header) {
        if (header.command() != HAProxyCommand.PROXY || header.sourceAddress() == null) {
            return Optional.empty();
        }
        return switch (header.proxiedProtocol()) {
            case TCP4, TCP6 ->
                Optional.of(new StreamRequest(
                        socketAddress(header.sourceAddress(), header.sourcePort()),
                        socketAddress(header.destinationAddress(), header.destinationPort())));
            default -> Optional.empty();
        };
    }

    /** Parses an address. The decoder has checked that it is numeric, so that there is no DNS lookup. */
    private static InetSocketAddress socketAddress(String address, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByName(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + address, e);
        }
    }
}
