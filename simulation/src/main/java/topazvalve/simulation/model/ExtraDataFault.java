package topazvalve.simulation.model;

/** Draws which responses of a server are followed by extra data, of which form, and how much later. */
public final class ExtraDataFault extends DelayedFault {
    private static final ExtraData[] FORMS = ExtraData.values();

    ExtraDataFault(RandomStream random) {
        super(random);
    }

    /** Draws the form of extra data. */
    public ExtraData drawForm() {
        return FORMS[drawIndex(FORMS.length)];
    }
}
