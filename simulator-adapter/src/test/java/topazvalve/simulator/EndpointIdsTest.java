package topazvalve.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Packing of an endpoint's address and port into an id, and back. */
class EndpointIdsTest {
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "1, 80, 0x10050", "0xffffffff, 0xffff, 0xffffffffffff"})
    void packsTheAddressAboveThePort(long address, int port, long id) {
        assertEquals(id, EndpointIds.pack(address, port));
        assertEquals(address, Integer.toUnsignedLong(EndpointIds.address(id)));
        assertEquals(port, Short.toUnsignedInt(EndpointIds.port(id)));
    }
}
