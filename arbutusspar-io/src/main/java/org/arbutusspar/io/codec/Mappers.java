package org.arbutusspar.io.codec;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.config.ChangeId;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.Objective;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.id.WorkspaceId;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.request.Outcome;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Jackson object mappers that are configured for the types of the core module. */
public final class Mappers {

  /** Maximum nesting depth of a document that is read. */
  private static final int MAX_DEPTH = 50;

  private static final int MAX_STRING_CHARS = 8_000_000;

  private static final ObjectMapper JSON = newJson();
  private static final ObjectMapper MESSAGE_PACK = newBinary();

  private Mappers() {}

  /** Returns the shared mapper for JSON. */
  public static ObjectMapper json() {
    return JSON;
  }

  /** Returns the shared mapper for MessagePack. */
  public static ObjectMapper messagePack() {
    return MESSAGE_PACK;
  }

  private static ObjectMapper newJson() {
    JsonMapper mapper = JsonMapper.builder().build();
    mapper.getFactory().setStreamReadConstraints(constraints());
    mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    return configure(mapper);
  }

  private static ObjectMapper newBinary() {
    ObjectMapper mapper = configure(new ObjectMapper(newMessagePack()));
    mapper.addMixIn(MemberRecord.class, ArrayForm.class);
    mapper.addMixIn(Home.class, ArrayForm.class);
    return mapper;
  }

  private static MessagePackFactory newMessagePack() {
    MessagePackFactory factory = new MessagePackFactory();
    factory.setStreamReadConstraints(constraints());
    return factory;
  }

  private static StreamReadConstraints constraints() {
    return StreamReadConstraints.builder()
        .maxNestingDepth(MAX_DEPTH)
        .maxStringLength(MAX_STRING_CHARS)
        .build();
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    SimpleModule textForms = new SimpleModule();
    addTextForm(textForms, ObjectName.class, ObjectName::value, ObjectName::of);
    addTextForm(textForms, WorkspaceId.class, WorkspaceId::value, WorkspaceId::of);
    addTextForm(textForms, InstanceId.class, InstanceId::value, InstanceId::of);
    addTextForm(textForms, ReplicaId.class, ReplicaId::value, ReplicaId::of);
    addTextForm(textForms, DataCentre.class, DataCentre::value, DataCentre::of);
    addTextForm(textForms, ChangeId.class, ChangeId::value, ChangeId::new);
    addTextForm(textForms, RequestId.class, RequestId::toString, RequestId::parse);
    addTextForm(textForms, Endpoint.class, Endpoint::toString, Endpoint::parse);
    mapper.registerModule(textForms);
    mapper.registerModule(new Jdk8Module());
    mapper.addMixIn(ConfigObject.class, ConfigObjectTypes.class);
    mapper.addMixIn(Outcome.class, OutcomeTypes.class);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    return mapper;
  }

  /** Makes a type be written and read as a string. */
  private static <T> void addTextForm(
      SimpleModule module, Class<T> type, Function<T, String> write, Function<String, T> read) {
    module.addSerializer(
        type,
        new JsonSerializer<T>() {
          @Override
          public void serialize(T value, JsonGenerator out, SerializerProvider provider)
              throws IOException {
            out.writeString(write.apply(value));
          }
        });
    module.addDeserializer(
        type,
        new JsonDeserializer<T>() {
          @Override
          public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return read.apply(in.getValueAsString());
          }
        });
  }

  /** Writes a record as an array without field names, to keep heartbeats on links small. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private interface ArrayForm {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Pipeline.class, name = "pipeline"),
    @JsonSubTypes.Type(value = Service.class, name = "service"),
    @JsonSubTypes.Type(value = Workspace.class, name = "workspace"),
    @JsonSubTypes.Type(value = Objective.class, name = "objective")
  })
  private interface ConfigObjectTypes {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Outcome.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Outcome.Refused.class, name = "refused")
  })
  private interface OutcomeTypes {}
}
