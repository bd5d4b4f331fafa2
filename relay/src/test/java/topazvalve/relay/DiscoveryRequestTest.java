package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;

/** Parsing of the query of a request for the endpoint list. */
class DiscoveryRequestTest {
    private static DiscoveryRequest parse(String query) throws InvalidRequestException {
        return DiscoveryRequest.parse(new QueryStringDecoder("/discovery/hosts" + query));
    }

    @Test
    void missingParametersHaveTheirDefaults() throws InvalidRequestException {
        assertEquals(new DiscoveryRequest(false, 0, VersionVector.NONE), parse(""));
    }

    @Test
    void parametersAreParsed() throws InvalidRequestException {
        VersionVector versions = VersionVector.of("eu", new SourceVersion(3, 41));
        assertEquals(new DiscoveryRequest(true, 41, versions), parse("?watch=1&from=41&versions=eu:3.41"));
    }

    @ParameterizedTest
    @CsvSource({
        "?from=x,from is not a version",
        "?from=-1,from is not a version",
        "?from=1&from=2,from is given twice",
        "?versions=eu,not a source and its version: eu",
        "?versions=eu:3,not a version: 3"
    })
    void invalidParameterIsABadRequest(String query, String message) {
        InvalidRequestException invalid = assertThrows(InvalidRequestException.class, () -> parse(query));
        assertEquals(HttpResponseStatus.BAD_REQUEST, invalid.status());
        assertEquals(message, invalid.getMessage());
    }
}
