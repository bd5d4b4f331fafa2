package topazvalve.tcp;

import io.netty.handler.codec.haproxy.HAProxyCommand;
import io.netty.handler.codec.haproxy.HAProxyMessage;
import io.netty.handler.codec.haproxy.HAProxyProtocolVersion;
import io.netty.handler.codec.haproxy.HAProxyProxiedProtocol;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** The PROXY header, versions 1 and 2 (the PROXY protocol, HAProxy's specification of 2020-03-05). */
final class ProxyHeader {
    private ProxyHeader() {}

    /** Tells a server who called whom; both addresses in one family, as the header wants them. */
    static HAProxyMessage of(StreamRequest opening, int version) {
        boolean six = opening.caller().getAddress() instanceof Inet6Address
                || opening.called().getAddress() instanceof Inet6Address;
        return new HAProxyMessage(
                version == 1 ? HAProxyProtocolVersion.V1 : HAProxyProtocolVersion.V2,
                HAProxyCommand.PROXY,
                six ? HAProxyProxiedProtocol.TCP6 : HAProxyProxiedProtocol.TCP4,
                text(opening.caller(), six),
                text(opening.called(), six),
                opening.caller().getPort(),
                opening.called().getPort());
    }

    private static String text(InetSocketAddress address, boolean six) {
        String text = address.getAddress().getHostAddress();
        int zone = text.indexOf('%');
        text = zone < 0 ? text : text.substring(0, zone);
        return six && !(address.getAddress() instanceof Inet6Address) ? "::ffff:" + text : text;
    }

    /** Who called whom, as a header says; null where it says nothing (LOCAL, UNKNOWN, unix sockets). */
    static StreamRequest read(HAProxyMessage header) {
        if (header.command() != HAProxyCommand.PROXY || header.sourceAddress() == null) {
            return null;
        }
        return switch (header.proxiedProtocol()) {
            case TCP4, TCP6 ->
                new StreamRequest(
                        address(header.sourceAddress(), header.sourcePort()),
                        address(header.destinationAddress(), header.destinationPort()));
            default -> null;
        };
    }

    /** The codec has checked that it is a numeric address, so that no name is looked up. */
    private static InetSocketAddress address(String text, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByName(text), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + text, e);
        }
    }
}
