/** The operator's manifest: a model service and a plain one, like those of a small deployment. */
final class Manifests {
    private Manifests() {
    }

    static String of(int version, int layers, String moreRoutes, String moreServices) {
        return """
            {"Version":%d,"Routes":[
            {"Name":"r-sum","Host":"inspect.example","Prefix":"/sum/","RouteKind":"streaming","TimeoutMs":20000,
             "TargetLatencyMs":500,"Priority":1,"Service":"model-pool","MaxAttempts":2,"Anonymous":false,
             "Sticky":true,"Resumable":true,"GapTargetMs":200},
            {"Name":"r-rep","Host":"inspect.example","Prefix":"/rep/","RouteKind":"non_idempotent","TimeoutMs":2500,
             "TargetLatencyMs":193,"Priority":2,"Service":"defect-app","MaxAttempts":1,"Anonymous":false},
            {"Name":"r-look","Host":"inspect.example","Prefix":"/look/","RouteKind":"idempotent","TimeoutMs":2500,
             "TargetLatencyMs":193,"Priority":2,"Service":"defect-app","MaxAttempts":2,"Anonymous":false}%s],
            "Services":[%s,
            {"Name":"defect-app","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}%s],
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
            "Tenants":[{"Name":"tenant-1","ApiKeys":["key-of-tenant-1"],"Priority":1}]}
            """.formatted(version, moreRoutes, modelService("model-pool", layers), moreServices);
    }

    /** A streaming route, to be added to others. */
    static String streamRoute(String name, String prefix, String service) {
        return """
            ,{"Name":"%s","Host":"inspect.example","Prefix":"%s","RouteKind":"streaming","TimeoutMs":20000,
             "TargetLatencyMs":500,"Priority":1,"Service":"%s","MaxAttempts":2,"Anonymous":false,
             "Sticky":true,"Resumable":true,"GapTargetMs":200}""".formatted(name, prefix, service);
    }

    static String modelService(String name, int layers) {
        return """
            {"Name":"%s","HealthPath":"/health","MaxConnections":1128,"Protocol":"h1","Tls":false,
             "Engine":{"Slots":134,"KvCapacityTokens":69791,"KvBytes":84537,"LinkMbps":480000.0,"Stride":2,
             "Models":[{"Name":"m0","pace":1.0,"LoadS":0.3,"WarmupS":0.1}],"step_ms":0.85,
             "per_seq_ms":0.005,"context_per_k":0.007,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,
             "report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":6,"delays":[],
             "usual":{"prompt":772,"answer":172},"Layers":%d,"LayerMb":1750.0,"ActivationBytes":42268,
             "PipeMbps":9000.0,"Kinds":[{"Name":"h100","SizeMb":72000.0,"pace":1.4,"ReadFactor":1.0},
             {"Name":"a100s","SizeMb":36000.0,"pace":3.1,"ReadFactor":3.2},
             {"Name":"l4","SizeMb":21600.0,"pace":16.0,"ReadFactor":8.2}]}}"""
            .formatted(name, layers);
    }
}
